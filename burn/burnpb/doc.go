// Package burnpb defines the messages in which instances store the request counts
// of package burn.
package burnpb
