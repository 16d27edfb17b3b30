package lint

import "github.com/pomelolock/pomelolock/table"

// MatchAt returns the route by which Compare judges the requests of a host and method at a path.
func MatchAt(doc table.Document, host, method, path string) (table.Route, bool) {
	return newRouter(doc, UsersPlatform).match(routeKey{host, method, path})
}
