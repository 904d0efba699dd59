// Package explainapi defines the response of a gateway to GET /explain, which
// plugins/gateway and the command explain share. Times are in milliseconds. The fields
// of Choice have the names of the log line "worker chosen".
package explainapi

import "time"

// Path is the path on the metrics listener.
const Path = "/explain"

// Names of the query parameters.
const (
	ParamHost    = "host"
	ParamPath    = "path"
	ParamMethod  = "method"
	ParamCaller  = "caller"     // name of a caller, not a key
	ParamPrompt  = "prompt"     // parts as in the header of a request: "ID:TOKENS,..."
	ParamTimeout = "timeout_ms" // the caller's timeout, default the route's
	// The tokens of the whole prompt and the caller's limit of the response, default not
	// known. The expected wait depends on them.
	ParamPromptTokens = "prompt_tokens"
	ParamOutputTokens = "max_output_tokens"
	ParamCandidates   = "candidates" // largest number of candidates for each upstream
)

// Limits of a request.
const (
	MaxQueryBytes     = 16 << 10
	DefaultCandidates = 10
	MaxCandidates     = 2000
)

// Response says where a request would go now, and why.
type Response struct {
	Router        string     `json:"router"`
	FailureDomain string     `json:"failure_domain"`
	At            time.Time  `json:"at"`
	Host          string     `json:"host"`
	Path          string     `json:"path"`
	Method        string     `json:"method"` // routes do not depend on it
	Revision      uint64     `json:"revision"`
	RevisionAgeMs int64      `json:"revision_age_ms"` // since this router applied the desired state
	Route         *Route     `json:"route,omitempty"`
	Caller        string     `json:"caller,omitempty"`
	Rank          int        `json:"rank"` // 0 is the most urgent
	RankOf        string     `json:"rank_of,omitempty"`
	Answer        *Answer    `json:"answer,omitempty"` // if the request gets no further; also each upstream may have one
	Upstreams     []Upstream `json:"upstreams,omitempty"`
}

// Values of Response.RankOf.
const (
	RankOfCaller = "caller"
	RankOfRoute  = "route"
)

// Route is the route that matches.
type Route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	Sticky    bool   `json:"sticky"`
	Public    bool   `json:"public"`
	TimeoutMs int64  `json:"timeout_ms"` // of the request
	TargetMs  int64  `json:"target_ms"`
}

// Answer is the router's own response to a request that it does not send. Retry-After is
// at least RetryAfterMs and below RetryAfterMaxMs, at random; both are 0 for none.
type Answer struct {
	Status          int    `json:"status"`
	Reason          string `json:"reason"`
	RetryAfterMs    int64  `json:"retry_after_ms"`
	RetryAfterMaxMs int64  `json:"retry_after_max_ms"`
}

// Upstream is one of the route's upstreams.
type Upstream struct {
	Name      string    `json:"name"`
	Weight    int       `json:"weight"`
	Share     float64   `json:"share"` // part of the route's requests
	Admission Admission `json:"admission"`
	Answer    *Answer   `json:"answer,omitempty"` // if the request were refused
	// Choice is the worker that the request would get; with an Answer, the one that it
	// would get if it were not refused.
	Choice *Choice `json:"choice,omitempty"`
	// ByChance says that a random number takes part: the next request may go to another
	// worker or get another Retry-After.
	ByChance    bool        `json:"by_chance"`
	Routers     int         `json:"routers"` // assumed to send to the upstream
	ListVersion int64       `json:"list"`
	ListAgeMs   int64       `json:"list_age_ms"`
	Workers     int         `json:"workers"` // listed
	Candidates  []Candidate `json:"candidates"`
}

// Admission is the state of admission control for an upstream, the rank and the caller.
type Admission struct {
	Enabled      bool     `json:"enabled"` // in the settings, and the upstream is known
	On           bool     `json:"on"`
	Refused      bool     `json:"refused"`
	AgeMs        int64    `json:"age_ms"`
	Room         *float64 `json:"room"` // requests per second of all routers; null for no limit
	Fraction     float64  `json:"fraction"`
	RankFraction float64  `json:"rank_fraction"`
	Shortage     float64  `json:"shortage"`
	Full         bool     `json:"full"`
	LatencyMs    int64    `json:"latency_ms"`
	PlanAgeMs    int64    `json:"plan_age_ms"` // negative for none
	Slots        int      `json:"slots"`
	Heard        int      `json:"heard"`
	Routers      int      `json:"routers"`
}

// Choice is the chosen worker with the values that decided it.
type Choice struct {
	Worker       string  `json:"worker"`
	Address      string  `json:"address"`
	Reason       string  `json:"reason"`
	Key          string  `json:"key"`
	SharedTokens int     `json:"shared_tokens"`
	Preference   int     `json:"rank"` // index in the order of preference
	Busy         int     `json:"busy"`
	Waiting      int     `json:"waiting"`
	Limit        int     `json:"limit"`
	Spread       int     `json:"spread"`
	KeyRate      float64 `json:"key_rate"`
	Mean         float64 `json:"mean"`
	FetchFrom    string  `json:"fetch_from"`   // address, empty for none
	FetchWorker  string  `json:"fetch_worker"` // ID of the listed worker with that address
	LoadAgeMs    int64   `json:"load_age_ms"`  // negative for none
	WorkPercent  int     `json:"work_percent"`
	RateLimit    float64 `json:"rate_limit"` // negative for none
	// ExpectedWaitMs is the expected time to the first byte, 0 if not known.
	ExpectedWaitMs int64   `json:"expected_wait_ms"`
	Slowness       float64 `json:"slowness"` // how much longer work takes than on the median worker, 1 if it is not slow
}

// Candidate is a listed worker, in the order of preference; workers that take no new
// requests come last.
type Candidate struct {
	Worker            string  `json:"worker"`
	FailureDomain     string  `json:"failure_domain"`
	Chosen            bool    `json:"chosen"`
	Busy              int     `json:"busy"`
	Limit             int     `json:"limit"` // load from which prompts go elsewhere, 0 for none
	Slots             int     `json:"slots"`
	Waiting           int     `json:"waiting"`
	LoadAgeMs         int64   `json:"load_age_ms"` // negative for none
	WorkPercent       int     `json:"work_percent"`
	Unreachable       bool    `json:"unreachable"`
	Ejected           bool    `json:"ejected"`
	Draining          bool    `json:"draining"`
	Leaving           bool    `json:"leaving"`
	Evacuated         bool    `json:"evacuated"`
	Returned          bool    `json:"returned"`    // its domain was evacuated until shortly before
	AboveShare        bool    `json:"above_share"` // it resumed after a pause and has got its share
	PausedMs          int64   `json:"paused_ms"`
	PausedElsewhereMs int64   `json:"paused_elsewhere_ms"`
	Cold              bool    `json:"cold"`
	ColdLeftMs        int64   `json:"cold_left_ms"`
	Rising            bool    `json:"rising"`           // its cold time is over, and its part of the requests still rises
	RisenPart         float64 `json:"risen_part"`       // that part, 0 while it is cold, 1 if it gets all
	ExpectedWaitMs    int64   `json:"expected_wait_ms"` // as in Choice, for this request
	Slowness          float64 `json:"slowness"`         // as in Choice
	RateLimit         float64 `json:"rate_limit"`       // requests per second, negative for none
	// NextPermitMs is the time until this router's next permit; 0 or less if one is in
	// force. Null if the worker needs none or the first one has not been drawn.
	NextPermitMs *int64 `json:"next_permit_ms"`
}
