package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/auburnlead/auburnlead/internal/core"
)

// orderBody is the body of POST /v1/orders.
type orderBody struct {
	Order        string `json:"order"`
	Model        string `json:"model"`
	FencingToken uint64 `json:"fencing_token"`
}

// SendOrder implements core.OrderClient. An order is a command to an engine to
// load or unload a model. The context limits the whole call, up to the end of the
// response.
func (c *Client) SendOrder(ctx context.Context, o core.Order) (core.LoadReport, error) {
	body, err := json.Marshal(orderBody{o.Order, o.Model, o.FencingToken})
	if err != nil {
		return core.LoadReport{}, notRunError(err)
	}
	u, err := c.workerURL(o.Upstream, o.Worker, "/v1/orders")
	if err != nil {
		return core.LoadReport{}, notRunError(err)
	}
	r := newRequest(ctx, http.MethodPost, u)
	r.Header.Set("Content-Type", "application/json")
	response, err := c.send(r, body, &sendTracker{allowed: o.Allowed})
	if err != nil {
		return core.LoadReport{}, err
	}
	if response.StatusCode != http.StatusOK {
		return core.LoadReport{}, statusError(response)
	}
	return readLoadReport(response)
}

// readLoadReport reads a load report from the body of a response.
func readLoadReport(response *http.Response) (core.LoadReport, error) {
	defer response.Body.Close()
	var report core.LoadReport
	body, err := readLimited(response, maxReportBytes)
	if err == nil {
		err = json.Unmarshal(body, &report)
	}
	if err != nil {
		return core.LoadReport{}, unknownOutcomeError(fmt.Errorf("cannot read the load report: %w", err))
	}
	return report, nil
}

var _ core.OrderClient = (*Client)(nil)
