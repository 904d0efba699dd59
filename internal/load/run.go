package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Plan describes a load run. Requests start at a fixed rate whether or not
// earlier ones have ended, so that a slow system does not reduce its own load.
type Plan struct {
	Clients     []*Client
	Model       string
	Rank        string
	Requests    int     // total number
	Rate        float64 // requests per second
	MaxInFlight int     // requests above this are counted as not sent
	Chats       int     // number of chats; each request is a turn that extends the history of its chat
	MaxTokens   int
	Stream      bool
	Seed        uint64
	Timeout     time.Duration // of one request; 0 for none
	// ExpectedContent returns the content that a complete response must have; nil
	// means that the content is not checked.
	ExpectedContent func(messages []Message, maxTokens int) string
}

// Report is the result of a run. Latencies are in microseconds.
type Report struct {
	Seed          uint64         `json:"seed"`
	Sent          int            `json:"sent"`
	NotSent       int            `json:"not_sent"`
	Complete      int            `json:"complete"`
	Failed        int            `json:"failed"`
	Wrong         int            `json:"wrong"` // complete responses with unexpected content
	WrongContent  string         `json:"wrong_content,omitempty"`
	Problems      map[string]int `json:"problems,omitempty"`
	Seconds       float64        `json:"seconds"`
	RequestsPerS  float64        `json:"requests_per_second"`
	FirstTokenP50 int64          `json:"first_token_p50_us"`
	FirstTokenP99 int64          `json:"first_token_p99_us"`
	TotalP50      int64          `json:"total_p50_us"`
	TotalP99      int64          `json:"total_p99_us"`
	PromptTokens  int64          `json:"prompt_tokens"`
	CachedTokens  int64          `json:"cached_tokens"`
}

// Histogram range: 1 microsecond to 10 minutes with three significant digits.
const (
	histogramMaxMicros = 600_000_000
	histogramDigits    = 3
)

// runner sends the requests of a run and collects the results.
type runner struct {
	plan Plan
	// mu is a leaf lock; it guards the fields below.
	mu         sync.Mutex
	report     Report
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	chats      [][]Message // messages of each chat; nil while a turn is in flight
	wg         sync.WaitGroup
}

// Run carries out a plan and waits until every request has ended.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if p.Requests < 1 || p.Rate <= 0 || p.MaxInFlight < 1 || p.Chats < 1 || len(p.Clients) == 0 {
		return nil, fmt.Errorf("load: requests, rate, in-flight limit and chats must be above zero and at least one URL given; correct the flags")
	}
	r := &runner{
		plan:       p,
		report:     Report{Seed: p.Seed, Problems: map[string]int{}},
		firstToken: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		total:      hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		chats:      make([][]Message, p.Chats),
	}
	for i := range r.chats {
		r.chats[i] = []Message{{Role: "system", Content: fmt.Sprintf("Chat %d. %s", i, strings.Repeat("Answer from the district's rota. ", 8))}}
	}
	begin := time.Now()
	r.sendAll(ctx)
	r.wg.Wait()
	r.finish(time.Since(begin))
	return &r.report, ctx.Err()
}

// sendAll starts the requests on schedule.
func (r *runner) sendAll(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.plan.Seed, 0))
	slots := make(chan struct{}, r.plan.MaxInFlight)
	tick := time.NewTicker(time.Duration(float64(time.Second) / r.plan.Rate))
	defer tick.Stop()
	for i := range r.plan.Requests {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		select {
		case slots <- struct{}{}:
		default:
			r.report.NotSent++
			continue
		}
		client := r.plan.Clients[i%len(r.plan.Clients)]
		chat := r.pickChat(rnd)
		r.report.Sent++
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer func() { <-slots }()
			r.runTurn(ctx, client, chat, i)
		}()
	}
}

// pickChat returns a chat without a turn in flight. If it finds none in a few
// random tries, it returns -1: the turn is sent without a history and not kept.
func (r *runner) pickChat(rnd *rand.Rand) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 8 {
		if i := rnd.IntN(len(r.chats)); r.chats[i] != nil {
			return i
		}
	}
	return -1
}

func (r *runner) runTurn(ctx context.Context, c *Client, chat, turn int) {
	messages := r.beginTurn(chat, turn)
	chatID := fmt.Sprintf("load-%d-%d", r.plan.Seed, chat)
	if r.plan.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.plan.Timeout)
		defer cancel()
	}
	result, err := c.Chat(ctx, Chat{Model: r.plan.Model, Messages: messages, Stream: r.plan.Stream, MaxTokens: r.plan.MaxTokens, Rank: r.plan.Rank, ChatID: chatID})
	r.endTurn(chat, messages, result, err)
}

// beginTurn takes a chat's history and adds the next question.
func (r *runner) beginTurn(chat, turn int) []Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	var history []Message
	if chat >= 0 {
		history, r.chats[chat] = r.chats[chat], nil
	}
	return append(history[:len(history):len(history)], Message{Role: "user", Content: fmt.Sprintf("Question %d: whose turn is it?", turn)})
}

// maxMessages limits the messages of a chat; a longer chat starts again.
const maxMessages = 24

func (r *runner) endTurn(chat int, messages []Message, result *ChatResult, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if chat >= 0 {
		r.chats[chat] = messages[:1]
		if err == nil && result.Complete && len(messages) < maxMessages {
			r.chats[chat] = append(messages, Message{Role: "assistant", Content: result.Content})
		}
	}
	switch {
	case err != nil:
		r.report.Failed++
		r.report.Problems["transport"]++
	case !result.Complete:
		r.report.Failed++
		kind := "unknown"
		if result.Problem != nil {
			kind = strings.TrimPrefix(result.Problem.Type, "urn:auburnlead:problem:")
		}
		r.report.Problems[kind]++
	default:
		r.report.Complete++
		r.checkContentLocked(messages, result)
		r.report.PromptTokens += int64(result.PromptTokens)
		r.report.CachedTokens += int64(result.CachedTokens)
		_ = r.total.RecordValue(result.Total.Microseconds()) // values out of range are not recorded
		if result.FirstToken > 0 {
			_ = r.firstToken.RecordValue(result.FirstToken.Microseconds())
		}
	}
}

// checkContentLocked counts a complete response whose content differs from the
// expected one: it has content of another response, or missing or duplicate
// content.
func (r *runner) checkContentLocked(messages []Message, result *ChatResult) {
	if r.plan.ExpectedContent == nil || result.Content == r.plan.ExpectedContent(messages, r.plan.MaxTokens) {
		return
	}
	r.report.Wrong++
	r.report.WrongContent = result.Content
}

// finish fills in the rates and latencies of the report.
func (r *runner) finish(elapsed time.Duration) {
	r.report.Seconds = elapsed.Seconds()
	r.report.RequestsPerS = float64(r.report.Complete) / elapsed.Seconds()
	r.report.FirstTokenP50 = r.firstToken.ValueAtQuantile(50)
	r.report.FirstTokenP99 = r.firstToken.ValueAtQuantile(99)
	r.report.TotalP50 = r.total.ValueAtQuantile(50)
	r.report.TotalP99 = r.total.ValueAtQuantile(99)
}
