package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/auburnlead/auburnlead/internal/load"
)

type loadCmd struct {
	Run     loadRunCmd     `cmd:"" help:"Send chats at a fixed rate and print latencies."`
	Chat    loadChatCmd    `cmd:"" help:"Send one chat completion."`
	Service loadServiceCmd `cmd:"" help:"Send one call to a plain service."`
	Book    loadBookCmd    `cmd:"" help:"Send bookings with a fixed set of idempotency keys, each several times."`
	Check   loadCheckCmd   `cmd:"" help:"Compare the responses to bookings with the journals of service stand-ins."`
}

// Help returns the text shown below the usage of the command.
func (loadCmd) Help() string {
	return "Example:\n\n  auburnlead load run --url http://127.0.0.1:8080 --key K --model rota-8b-v3 --rate 50 --requests 1000"
}

// clientFlags are the flags of the commands that send requests as a caller.
type clientFlags struct {
	Key    string `help:"Caller key." env:"AUBURNLEAD_CALLER_KEY"`
	Direct bool   `help:"Send to an engine instead of a router."`
}

type loadRunCmd struct {
	clientFlags
	URL       []string `help:"Base URL; may be repeated, requests then alternate between the URLs." required:""`
	Model     string   `help:"Model name." required:""`
	Rank      string   `help:"Rank; the caller's default if empty."`
	Rate      float64  `help:"Requests per second." default:"20"`
	Requests  int      `help:"Total number of requests." default:"200"`
	InFlight  int      `help:"Maximum number of requests in flight." default:"1000"`
	Chats     int      `help:"Number of chats; each further request of a chat extends it." default:"50"`
	MaxTokens int      `help:"Maximum tokens per response." default:"16"`
	Seed      uint64   `help:"Seed for the choice of chats." default:"1"`
	NoStream  bool     `help:"Request buffered responses instead of streams."`

	Verify  bool          `help:"Compare the content of each complete response with what the engine stand-in produces; a difference is an error."`
	Timeout time.Duration `help:"Timeout of a request; 0s for none." default:"0s"`
}

// Run sends the load and prints the report.
func (c *loadRunCmd) Run(ctx context.Context, s *Streams) (err error) {
	plan := load.Plan{Model: c.Model, Rank: c.Rank, Requests: c.Requests, Rate: c.Rate, MaxInFlight: c.InFlight, Chats: c.Chats, MaxTokens: c.MaxTokens, Stream: !c.NoStream, Seed: c.Seed, Timeout: c.Timeout}
	if c.Verify {
		plan.ExpectedContent = expectedContent
	}
	for _, url := range c.URL {
		plan.Clients = append(plan.Clients, load.NewClient(url, c.Key, c.Direct, c.InFlight))
	}
	report, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	if report.Wrong > 0 {
		defer func() {
			err = &ExitError{ExitFailed, fmt.Errorf("%d complete responses differ from the content that their engine produced, for example %q", report.Wrong, report.WrongContent)}
		}()
	}
	if s.Output == "json" {
		return json.NewEncoder(s.Out).Encode(report)
	}
	_, err = fmt.Fprintf(s.Out, "sent %d, complete %d, failed %d %v, not sent %d, seed %d\n%.1f requests/s; first token p50 %d us, p99 %d us; whole p50 %d us, p99 %d us; cached %d of %d prompt tokens\n",
		report.Sent, report.Complete, report.Failed, report.Problems, report.NotSent, report.Seed, report.RequestsPerS, report.FirstTokenP50, report.FirstTokenP99, report.TotalP50, report.TotalP99, report.CachedTokens, report.PromptTokens)
	return err
}

type loadChatCmd struct {
	clientFlags
	URL        string   `help:"Base URL." required:""`
	Model      string   `help:"Model name." required:""`
	Rank       string   `help:"Rank; the caller's default if empty."`
	Workspace  string   `help:"Workspace."`
	Chat       string   `help:"Chat ID."`
	Message    []string `help:"Messages, alternating between user and assistant." sep:"none" required:""`
	MaxTokens  int      `help:"Maximum tokens per response." default:"16"`
	DeadlineMS int64    `help:"Deadline in ms; 0 for none." name:"deadline-ms"`
	NoStream   bool     `help:"Request a buffered response instead of a stream."`
}

// Run sends the chat and prints the result. It returns an error if the response
// is not complete.
func (c *loadChatCmd) Run(ctx context.Context, s *Streams) error {
	q := load.Chat{Model: c.Model, Rank: c.Rank, Workspace: c.Workspace, ChatID: c.Chat, MaxTokens: c.MaxTokens, Stream: !c.NoStream, DeadlineMS: c.DeadlineMS}
	for i, m := range c.Message {
		role := "user"
		if i%2 == 1 {
			role = "assistant"
		}
		q.Messages = append(q.Messages, load.Message{Role: role, Content: m})
	}
	result, err := load.NewClient(c.URL, c.Key, c.Direct, 1).Chat(ctx, q)
	if result == nil {
		return &ExitError{ExitUnreachable, err}
	}
	if s.Output == "json" {
		err = errors.Join(err, json.NewEncoder(s.Out).Encode(result))
	} else {
		fmt.Fprintf(s.Out, "status %d, complete %t, worker %q, cached %d of %d prompt tokens\n%s\n", result.Status, result.Complete, result.Worker, result.CachedTokens, result.PromptTokens, result.Content)
	}
	if result.Problem != nil {
		return &ExitError{ExitFailed, fmt.Errorf("%s: %s (%s); %s", result.Problem.Title, result.Problem.Detail, result.Problem.Outcome, result.Problem.Remedy)}
	}
	return err
}

type loadServiceCmd struct {
	clientFlags
	URL            string `help:"Base URL." required:""`
	Method         string `help:"HTTP method." default:"GET"`
	Path           string `help:"Path of the request, beginning with /v1/services." required:""`
	Body           string `help:"JSON body."`
	IdempotencyKey string `help:"Idempotency-Key." name:"idempotency-key"`
}

// Run sends the call and prints the response.
func (c *loadServiceCmd) Run(ctx context.Context, s *Streams) error {
	result, err := load.NewClient(c.URL, c.Key, c.Direct, 1).Service(ctx, c.Method, c.Path, []byte(c.Body), c.IdempotencyKey)
	if err != nil {
		return &ExitError{ExitUnreachable, err}
	}
	if s.Output == "json" {
		err = json.NewEncoder(s.Out).Encode(result)
	} else {
		_, err = fmt.Fprintf(s.Out, "status %d\n%s\n", result.Status, result.Body)
	}
	if result.Problem != nil {
		return &ExitError{ExitFailed, fmt.Errorf("%s: %s (%s); %s", result.Problem.Title, result.Problem.Detail, result.Problem.Outcome, result.Problem.Remedy)}
	}
	return err
}
