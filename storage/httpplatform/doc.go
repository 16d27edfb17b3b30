// Package httpplatform is the client of the platform's HTTP API.
//
// The API has one resource per service. Keys and names travel as query
// parameters, values as raw bodies.
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
// A missing key answers 404. A conditional write whose expected version
// differs answers 412 with the present Record-Version. A refusal without
// effect answers 503 with "Platform-Not-Applied: true", or any 4xx status.
//
// Writes that fail in any other way after a connection was obtained, such as
// a lost answer, a timeout or a 5xx status without that header, may have taken
// effect and fail with [storage.UnknownOutcomeError]. The client never
// resends a write.
package httpplatform
