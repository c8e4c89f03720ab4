package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/app"
)

// maxLiftResponse limits the text of a refused lift that is printed, in bytes.
const maxLiftResponse = 4 << 10

// executeAtGateway lists the suspensions of a gateway, or lifts one.
func (c *quarantineCommand) executeAtGateway(ctx context.Context) subcommands.ExitStatus {
	if c.lift != "" {
		if err := c.liftAtGateway(ctx); err != nil {
			return c.reportError(err)
		}
		c.env.printf("%s may run again\n", c.lift)
		return subcommands.ExitSuccess
	}
	raw, err := getAdminJSON(ctx, c.gateway, "/debug/state")
	if err != nil {
		return c.reportError(err)
	}
	var state struct {
		Suspended []struct {
			Subjects []string `json:"subjects"`
			Crashed  []string `json:"crashed"`
		} `json:"suspended"`
	}
	if err := json.Unmarshal(raw, &state); err != nil {
		return c.reportError(errors.Wrapf(err, "decode the state dump of %s", c.gateway))
	}
	if c.json {
		c.env.printJSON(state)
		return subcommands.ExitSuccess
	}
	w := tabwriter.NewWriter(c.env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "FINGERPRINTS\tUPSTREAMS THAT CRASHED")
	for _, s := range state.Suspended {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", strings.Join(s.Subjects, " "), strings.Join(s.Crashed, ", "))
	}
	_ = w.Flush()
	return subcommands.ExitSuccess
}

// liftAtGateway asks the gateway to lift the suspension.
func (c *quarantineCommand) liftAtGateway(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateway+app.LiftPath+c.lift, nil)
	if err != nil {
		return errors.Wrapf(err, "invalid admin address %q", c.gateway)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "request to %s failed; check that the gateway runs and that this is its admin port", c.gateway)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNoContent {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxLiftResponse))
	if err != nil {
		return errors.Wrap(err, "read the answer of the gateway")
	}
	return errors.Errorf("%s refused the lift with status %s: %s", c.gateway, resp.Status, text)
}
