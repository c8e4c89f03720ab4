package cli

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// defaultAdminAddresses are the admin addresses of the demo's entries.
const defaultAdminAddresses = "127.0.0.1:18090,127.0.0.1:18091"

const adminTimeout = 5 * time.Second

// adminFlag is the -admin flag of the commands that query admin ports.
type adminFlag struct {
	env       Env
	addresses string
}

func (a *adminFlag) register(f *flag.FlagSet) {
	f.StringVar(&a.addresses, "admin", defaultAdminAddresses, "admin addresses, host:port, separated by commas")
}

func (a *adminFlag) addressList() []string {
	var list []string
	for part := range strings.SplitSeq(a.addresses, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// processState holds the fields of a process's state dump that the commands use; Raw
// is the complete dump.
type processState struct {
	Instance       string                     `json:"instance"`
	Role           string                     `json:"role"`
	Upstream       string                     `json:"upstream"`
	FailureDomain  string                     `json:"failure_domain"`
	Incarnation    uint64                     `json:"incarnation"`
	ConfigRevision uint64                     `json:"config_revision"`
	Ready          bool                       `json:"ready"`
	Leaving        bool                       `json:"leaving"`
	Parts          map[string]json.RawMessage `json:"parts"`
	Raw            json.RawMessage            `json:"-"`
}

// fetchState fetches the state dump from an admin address.
func fetchState(ctx context.Context, address string) (*processState, error) {
	raw, err := getAdminJSON(ctx, address, "/debug/state")
	if err != nil {
		return nil, err
	}
	s := &processState{Raw: raw}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, errors.Wrapf(err, "decode the state dump of %s", address)
	}
	return s, nil
}

func getAdminJSON(ctx context.Context, address, path string) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "invalid admin address %q", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "request to %s failed; check that the process runs and that this is its admin port", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s returned status %s for GET %s", address, resp.Status, path)
	}
	var raw json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&raw); err != nil {
		return nil, errors.Wrapf(err, "decode the response of %s", address)
	}
	return raw, nil
}
