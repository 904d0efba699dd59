package core

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// ProblemJSON is the body of an application/problem+json response (RFC 9457).
type ProblemJSON struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Remedy    string  `json:"remedy"`
	RequestID string  `json:"request_id,omitempty"`
}

// JSON returns the response body of the problem.
func (p *Problem) JSON(requestID string) ProblemJSON {
	return ProblemJSON{p.Type(), p.Title(), p.Status(), p.Detail, p.Outcome, p.Remedy(), requestID}
}

// WriteProblem writes a problem as the complete response.
func WriteProblem(w http.ResponseWriter, p *Problem, requestID string) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status())
	_ = json.NewEncoder(w).Encode(p.JSON(requestID)) // fails if the connection is closed
}
