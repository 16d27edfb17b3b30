package outcome_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/pomelolock/pomelolock/outcome"
)

func ExampleError_Write() {
	recorder := httptest.NewRecorder()
	refused := &outcome.Error{
		Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Code: outcome.CodeOverload,
		Detail: "no slot in time", RetryAfter: 1500 * time.Millisecond,
	}
	if err := refused.Write(recorder, "request-7"); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(recorder.Code, recorder.Header().Get(outcome.HeaderOutcome), recorder.Header().Get("Retry-After"))
	fmt.Print(recorder.Body)
	// Output:
	// 503 not-run 2
	// {"outcome":"not-run","code":"overload","detail":"no slot in time","request_id":"request-7","retry_after_ms":1500}
}
