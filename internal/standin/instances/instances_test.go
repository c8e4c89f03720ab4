package instances_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/standin/instances"
)

// Guards against a list that shows changes early or, when stuck, at all.
func TestLagAndStick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		l, err := network.Listen("list:80")
		if err != nil {
			t.Fatal(err)
		}
		s := instances.Serve(instances.NewList(2*time.Second), l)
		defer s.Close()
		transport := &http.Transport{DialContext: network.Dial}
		defer transport.CloseIdleConnections()
		seen := func() string {
			resp, err := (&http.Client{Transport: transport}).Get("http://list:80/v1/health/service/fescueslip")
			if err != nil {
				return err.Error()
			}
			defer resp.Body.Close()
			b, _ := io.ReadAll(resp.Body)
			return strings.TrimSpace(string(b))
		}
		const prefix = `[{"Node":{"Datacenter":"r1"},"Service":{"ID":"a","Address":"10.0.0.1","Port":70,"Meta":{"role":"sidecar",` +
			`"upstream":"u","failure_domain":"fd1","region":"r1","admin_address":"10.0.0.1:71","incarnation":"7"}},"Checks":[{"Status":"`
		expect := func(after time.Duration, want string) {
			t.Helper()
			time.Sleep(after)
			if got := seen(); got != want {
				t.Errorf("list = %s, want %s", got, want)
			}
		}
		s.Register(instances.Instance{
			Name: "a", Role: "sidecar", Upstream: "u", FailureDomain: "fd1", Region: "r1",
			PeerAddress: "10.0.0.1:70", AdminAddress: "10.0.0.1:71", Incarnation: 7,
		})
		expect(time.Second, `[]`)
		expect(time.Second, prefix+`passing"}]}]`)
		s.Register(instances.Instance{Name: "b"})
		s.Remove("b")
		s.MarkLeaving("b")
		expect(3*time.Second, prefix+`passing"}]}]`)
		s.MarkLeaving("a")
		s.Freeze(10 * time.Second)
		// Keeps clear of the instant at which the list gets unstuck.
		time.Sleep(time.Millisecond)
		expect(9*time.Second, prefix+`passing"}]}]`)
		s.Remove("a")
		expect(time.Second, prefix+`leaving"}]}]`)
		expect(time.Second, `[]`)
	})
}
