package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/auburnlead/auburnlead/internal/load"
	"github.com/auburnlead/auburnlead/internal/standin/engine"
	"github.com/auburnlead/auburnlead/internal/standin/service"
)

// expectedContent returns the content that the engine stand-in produces for a
// chat.
func expectedContent(messages []load.Message, maxTokens int) string {
	chat := make([]engine.Message, len(messages))
	for i, m := range messages {
		chat[i] = engine.Message(m)
	}
	return engine.ExpectedAnswer(chat, maxTokens)
}

type loadBookCmd struct {
	clientFlags
	URL      []string      `help:"Base URL; may be repeated, each request uses a random one." required:""`
	Path     string        `help:"Path of the request, beginning with /v1/services." required:""`
	Prefix   string        `help:"Prefix of the idempotency keys." default:"key-"`
	Keys     int           `help:"Number of idempotency keys." default:"100"`
	Rounds   int           `help:"Requests per key." default:"3"`
	Rate     float64       `help:"Requests per second." default:"50"`
	InFlight int           `help:"Maximum number of requests in flight." default:"64"`
	Timeout  time.Duration `help:"Timeout of a request." default:"10s"`
	Seed     uint64        `help:"Seed for the order of keys and routers." default:"1"`
}

// Help returns the text shown below the usage of the command.
func (loadBookCmd) Help() string {
	return "Prints one JSON line per request, as input for load check.\n\nExample:\n\n  auburnlead load book --url http://127.0.0.1:8080 --path /v1/services/rota-desk/bookings --keys 50 > bookings.jsonl"
}

// Run sends the bookings.
func (c *loadBookCmd) Run(ctx context.Context, s *Streams) error {
	p := load.BookPlan{Path: c.Path, Prefix: c.Prefix, Keys: c.Keys, Rounds: c.Rounds, Rate: c.Rate, InFlight: c.InFlight, Timeout: c.Timeout, Seed: c.Seed}
	for _, url := range c.URL {
		p.Clients = append(p.Clients, load.NewClient(url, c.Key, c.Direct, c.InFlight))
	}
	return load.Book(ctx, p, s.Out)
}

type loadCheckCmd struct {
	Bookings []string `help:"File written by load book; may be repeated." required:"" type:"existingfile"`
	Journal  []string `help:"Service stand-in whose journal is read, as ID=IP:PORT; may be repeated." required:"" placeholder:"ID=IP:PORT"`
}

// Help returns the text shown below the usage of the command.
func (loadCheckCmd) Help() string {
	return "Prints one JSON object with counts and violations. Fails if there is a violation.\n\nExample:\n\n  auburnlead load check --bookings bookings.jsonl --journal s1=127.0.0.1:9101"
}

// Run compares the bookings with the journals and prints the result. It returns an
// error if there is a violation.
func (c *loadCheckCmd) Run(ctx context.Context, s *Streams) error {
	var bookings []load.Booking
	for _, name := range c.Bookings {
		list, err := readBookings(name)
		if err != nil {
			return &ExitError{ExitUsage, err}
		}
		bookings = append(bookings, list...)
	}
	journals := map[string]service.Journal{}
	for _, j := range c.Journal {
		id, address, _ := strings.Cut(j, "=")
		journal, err := readJournal(ctx, address)
		if err != nil {
			return &ExitError{ExitUnreachable, err}
		}
		journals[id] = journal
	}
	result := load.Check(bookings, journals)
	if err := json.NewEncoder(s.Out).Encode(result); err != nil {
		return err
	}
	if n := len(result.Violations); n > 0 {
		return &ExitError{ExitFailed, fmt.Errorf("%d violations, for example: %s", n, result.Violations[0])}
	}
	return nil
}

// readBookings reads the lines written by load book.
func readBookings(name string) ([]load.Booking, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var list []load.Booking
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var b load.Booking
		if err := json.Unmarshal(lines.Bytes(), &b); err != nil {
			return nil, fmt.Errorf("%s, line %d: %w; pass a file written by load book", name, len(list)+1, err)
		}
		list = append(list, b)
	}
	return list, lines.Err()
}

// readJournal reads the journal of a service stand-in.
func readJournal(ctx context.Context, address string) (j service.Journal, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/journal", nil)
	if err != nil {
		return j, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return j, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&j); err != nil {
		return j, fmt.Errorf("decode the journal of %s: %w; pass the address of a service stand-in", address, err)
	}
	return j, nil
}
