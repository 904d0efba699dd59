package objects

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// field describes one key of a section. Parse, Format, Check and Diff all use
// this description.
type field[T any] struct {
	key          string
	defaultValue string // empty for none
	required     bool
	repeated     bool // the key has one line for each value
	allowed      string
	get          func(*T) []string
	set          func(*T, string) error
	// check returns what is wrong with the value, or "" if it is valid.
	check func(*T) string
}

func intField[T any](key, defaultValue string, low, high int, ptr func(*T) *int) field[T] {
	return field[T]{
		key: key, defaultValue: defaultValue, required: defaultValue == "",
		allowed: fmt.Sprintf("%d to %d", low, high),
		get:     func(o *T) []string { return []string{strconv.Itoa(*ptr(o))} },
		set: func(o *T, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return fmt.Errorf("%q is not a whole number", text)
			}
			*ptr(o) = n
			return nil
		},
		check: func(o *T) string { return rangeProblem(*ptr(o) < low || *ptr(o) > high, *ptr(o)) },
	}
}

func floatField[T any](key, defaultValue string, low, high float64, ptr func(*T) *float64) field[T] {
	return field[T]{
		key: key, defaultValue: defaultValue,
		allowed: fmt.Sprintf("%g to %g", low, high),
		get:     func(o *T) []string { return []string{strconv.FormatFloat(*ptr(o), 'g', -1, 64)} },
		set: func(o *T, text string) error {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
				return fmt.Errorf("%q is not a number", text)
			}
			*ptr(o) = n
			return nil
		},
		// Written as a negation so that NaN is reported too.
		check: func(o *T) string { return rangeProblem(!(*ptr(o) >= low && *ptr(o) <= high), *ptr(o)) },
	}
}

func durationField[T any](key, defaultValue string, low, high time.Duration, ptr func(*T) *time.Duration) field[T] {
	return field[T]{
		key: key, defaultValue: defaultValue,
		allowed: fmt.Sprintf("%s to %s", low, high),
		get:     func(o *T) []string { return []string{ptr(o).String()} },
		set: func(o *T, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("%q is not a duration such as 500ms or 3s", text)
			}
			*ptr(o) = d
			return nil
		},
		check: func(o *T) string { return rangeProblem(*ptr(o) < low || *ptr(o) > high, *ptr(o)) },
	}
}

// withoutZero returns a field that has no line in the text of an object while its value
// is zero.
func withoutZero[T any](f field[T], zero string) field[T] {
	get := f.get
	f.get = func(o *T) []string {
		return slices.DeleteFunc(get(o), func(v string) bool { return v == zero })
	}
	return f
}

func boolField[T any](key string, ptr func(*T) *bool) field[T] {
	return field[T]{
		key: key, defaultValue: "false", allowed: "true, false",
		get: func(o *T) []string { return []string{strconv.FormatBool(*ptr(o))} },
		set: func(o *T, text string) error {
			b, err := strconv.ParseBool(text)
			if err != nil {
				return fmt.Errorf("%q is neither true nor false", text)
			}
			*ptr(o) = b
			return nil
		},
	}
}

func stringField[T any](key, allowed string, required bool, valid func(string) bool, ptr func(*T) *string) field[T] {
	return field[T]{
		key: key, required: required, allowed: allowed,
		get: func(o *T) []string { return nonEmpty(*ptr(o)) },
		set: func(o *T, text string) error { *ptr(o) = text; return nil },
		check: func(o *T) string {
			if v := *ptr(o); (v != "" || required) && !valid(v) {
				return fmt.Sprintf("%q is not allowed", v)
			}
			return ""
		},
	}
}

func listField[T any](key, allowed string, required bool, valid func(string) bool, ptr func(*T) *[]string) field[T] {
	return field[T]{
		key: key, required: required, allowed: allowed,
		get: func(o *T) []string { return nonEmpty(strings.Join(*ptr(o), ", ")) },
		set: func(o *T, text string) error { *ptr(o) = splitList(text); return nil },
		check: func(o *T) string {
			seen := map[string]bool{}
			for _, v := range *ptr(o) {
				if !valid(v) {
					return fmt.Sprintf("%q is not allowed", v)
				}
				if seen[v] {
					return fmt.Sprintf("%q is listed twice", v)
				}
				seen[v] = true
			}
			if required && len(seen) == 0 {
				return "the list is empty"
			}
			return ""
		},
	}
}

func rangeProblem(violated bool, value any) string {
	if !violated {
		return ""
	}
	return fmt.Sprintf("%v is outside the allowed range", value)
}

func nonEmpty(text string) []string {
	if text == "" {
		return nil
	}
	return []string{text}
}

func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// nameAllowed describes the values that validName accepts.
const nameAllowed = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"

func validName(s string) bool {
	return len(s) <= 64 && consistsOf(s, "._-") && !strings.Contains("._-", s[:1])
}

func validWeights(s string) bool { return len(s) <= 256 && consistsOf(s, "._-/:@+") }

func validMethod(s string) bool {
	return slices.Contains([]string{"POST", "PUT", "PATCH", "DELETE"}, s)
}

func validDigest(s string) bool {
	return len(s) == 64 && strings.Trim(s, "0123456789abcdef") == ""
}

// consistsOf reports whether s is not empty and contains only letters, digits
// and the extra characters.
func consistsOf(s, extra string) bool {
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && !strings.ContainsRune(extra, r) {
			return false
		}
	}
	return s != ""
}

var rankFields = []field[Rank]{
	intField("priority", "", 0, 9, func(r *Rank) *int { return &r.Priority }),
	floatField("floor", "0", 0, 1, func(r *Rank) *float64 { return &r.Floor }),
	durationField("target_wait", "1s", time.Millisecond, time.Hour, func(r *Rank) *time.Duration { return &r.TargetWait }),
	durationField("max_duration", "120s", time.Second, time.Hour, func(r *Rank) *time.Duration { return &r.MaxDuration }),
	intField("queue_limit", "200", 1, 100000, func(r *Rank) *int { return &r.QueueLimit }),
}

var modelFields = []field[Model]{
	stringField("weights", "1 to 256 letters, digits or . _ - / : @ +", true, validWeights, func(m *Model) *string { return &m.Weights }),
	intField("context_tokens", "8192", 1, 10_000_000, func(m *Model) *int { return &m.ContextTokens }),
	stringField("fallback", "the name of another model", false, validName, func(m *Model) *string { return &m.Fallback }),
}

var callerFields = []field[Caller]{
	stringField("key_sha256", "64 lower-case hex digits", true, validDigest, func(c *Caller) *string { return &c.KeySHA256 }),
	listField("more_key_sha256", "64 lower-case hex digits each", false, validDigest, func(c *Caller) *[]string { return &c.MoreKeySHA256 }),
	{
		key: "priority", allowed: "0 to 9",
		get: func(c *Caller) []string {
			if c.Priority == nil {
				return nil
			}
			return []string{strconv.Itoa(*c.Priority)}
		},
		set: func(c *Caller, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil || n < 0 || n > 9 {
				return fmt.Errorf("%q is not a priority", text)
			}
			c.Priority = &n
			return nil
		},
	},
	listField("ranks", "names of ranks", true, validName, func(c *Caller) *[]string { return &c.Ranks }),
	stringField("default_rank", "one of the caller's ranks", true, validName, func(c *Caller) *string { return &c.DefaultRank }),
	listField("models", "names of models", false, validName, func(c *Caller) *[]string { return &c.Models }),
	listField("services", "names of upstreams of kind service", false, validName, func(c *Caller) *[]string { return &c.Services }),
	floatField("weight", "1", 0.001, 1000, func(c *Caller) *float64 { return &c.Weight }),
	boolField("diagnostics", func(c *Caller) *bool { return &c.Diagnostics }),
}

var upstreamFields = []field[Upstream]{
	stringField("kind", "engine, service", true,
		func(s string) bool { return s == string(UpstreamEngine) || s == string(UpstreamService) },
		func(u *Upstream) *string { return (*string)(&u.Kind) }),
	listField("models", "names of models", false, validName, func(u *Upstream) *[]string { return &u.Models }),
	boolField("reports_load", func(u *Upstream) *bool { return &u.ReportsLoad }),
	boolField("checks_fencing", func(u *Upstream) *bool { return &u.ChecksFencing }),
	boolField("manage_models", func(u *Upstream) *bool { return &u.ManageModels }),
	floatField("load_bound", "1.25", 1.05, 100, func(u *Upstream) *float64 { return &u.LoadBound }),
	intField("max_in_flight", "16", 1, 4096, func(u *Upstream) *int { return &u.MaxInFlight }),
	withoutZero(durationField("cold_start", "", 0, time.Hour, func(u *Upstream) *time.Duration { return &u.ColdStart }), "0s"),
	withoutZero(floatField("cold_rate", "", 0, 1e6, func(u *Upstream) *float64 { return &u.ColdRate }), "0"),
	intField("kv_capacity", "0", 0, 1<<30, func(u *Upstream) *int { return &u.KVCapacity }),
	listField("once_methods", "POST, PUT, PATCH, DELETE", false, validMethod, func(u *Upstream) *[]string { return &u.OnceMethods }),
	{
		key: "worker", required: true, repeated: true,
		allowed: "ID, failure domain and http(s)://IP:port, separated by spaces",
		get:     workerLines, set: addWorker,
	},
	listField("draining", "IDs of workers of the upstream", false, validName, func(u *Upstream) *[]string { return &u.Draining }),
}

func workerLines(u *Upstream) []string {
	lines := make([]string, len(u.Workers))
	for i, w := range u.Workers {
		lines[i] = w.ID + " " + w.FailureDomain + " " + w.URL
	}
	return lines
}

func addWorker(u *Upstream, text string) error {
	parts := strings.Fields(text)
	if len(parts) != 3 {
		return fmt.Errorf("%q does not have three parts", text)
	}
	u.Workers = append(u.Workers, Worker{ID: parts[0], FailureDomain: parts[1], URL: parts[2]})
	return nil
}
