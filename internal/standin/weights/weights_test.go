package weights_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/standin/weights"
)

// Guards against a total send rate that grows with the number of readers.
func TestReadersShareTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		l, err := network.Listen("weights:80")
		if err != nil {
			t.Fatal(err)
		}
		s := weights.Serve(weights.Options{Listener: l, ModelBytes: 4 << 20, BytesPerSecond: 1 << 20, Versions: map[string][]string{"m": {"1"}}})
		defer s.Close()
		transport := &http.Transport{DialContext: network.Dial}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport}
		start := time.Now()
		var readers sync.WaitGroup
		for range 2 {
			readers.Go(func() {
				resp, err := client.Get("http://weights:80/v1/weights/m/1")
				if err != nil {
					t.Error(err)
					return
				}
				defer resp.Body.Close()
				if n, err := io.Copy(io.Discard, resp.Body); n != 4<<20 || err != nil {
					t.Errorf("read %d bytes, %v", n, err)
				}
			})
		}
		readers.Wait()
		if took := time.Since(start); took < 7*time.Second || took > 8*time.Second {
			t.Errorf("two readers of 4 MB at 1 MB/s took %v", took)
		}
		resp, err := client.Get("http://weights:80/v1/weights/m/2")
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != 404 {
			t.Errorf("absent version: status %d, want 404", resp.StatusCode)
		}
	})
}
