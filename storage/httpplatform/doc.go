// Package httpplatform implements the client of the platform's HTTP API.
//
// Keys and names are passed as query parameters, values as raw bodies.
//
//	GET    /v1/records?key=K            value; Record-Version header
//	PUT    /v1/records?key=K&expect=V   new Record-Version header
//	DELETE /v1/records?key=K&expect=V
//	GET    /v1/scan?prefix=P&after=K&limit=N
//	GET    /v1/objects?name=N           also PUT and DELETE
//	GET    /v1/object-names?prefix=P
//	GET    /v1/instances
//	PUT    /v1/instances                a JSON storage.Instance
//	DELETE /v1/instances?id=I
//
// A missing key or object returns 404. A conditional write whose expected version
// differs from the current one returns 412 with the current Record-Version. A 503
// with "Platform-Not-Applied: true", and any 4xx status other than 408, means that
// the operation had no effect.
//
// A write that fails in any other way after a connection was obtained may have
// taken effect, for example after a lost response, a timeout or a 5xx status
// without that header. It fails with [storage.UnknownOutcomeError]. The client
// never resends a write.
package httpplatform
