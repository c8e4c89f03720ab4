package capacity

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/configstore"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/relay"
	"github.com/fescueslip/fescueslip/internal/standin/instances"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore/kvmem"
	"github.com/fescueslip/fescueslip/internal/wire"
)

var measureMemory = flag.Bool("measure-memory", false, "measure memory and the cost of frames; the results are written to testdata/measured.json")

const memoryCommand = "`go test ./internal/capacity -run TestMeasureMemory -measure-memory`"

// TestMeasureMemory measures the memory of the structures that grow with the system,
// and the processor time of operations on them. It guards against streams that take
// more than 200 KB each. Without -measure-memory it uses small sizes and saves
// nothing, which guards against measurement code that no longer works.
func TestMeasureMemory(t *testing.T) {
	m, err := Load(measuredFile)
	if err != nil {
		t.Fatal(err)
	}
	sizes := []int{10, 50, 200}
	if *measureMemory {
		sizes = []int{50, 200, 1000, 2000}
	}
	for _, n := range sizes {
		add := func(name, unit, per string, target, y float64) {
			m.Add(Series{Name: name, Unit: unit, Per: per, Scale: Linear, Target: target, Command: memoryCommand}, float64(n), y)
		}
		add("memory: table of members", "B", "members", 4940, retainedBytes(func() any { return newTable(n) }))
		add("memory: snapshot, callers", "B", "callers", 18000, retainedBytes(func() any { return config.BuildSnapshot(1, callerObjects(n)) }))
		add("memory: snapshot, upstreams", "B", "upstreams", 4400, retainedBytes(func() any { return config.BuildSnapshot(1, upstreamObjects(n)) }))
		bytes, cpu := measureStreams(t, n)
		// Each stream took 550 KB when the server advertised a maximum read frame
		// size of 1 MB.
		if n >= 50 && bytes/float64(n) > 200_000 {
			t.Errorf("%d streams take %.0f B each, want at most 200000", n, bytes/float64(n))
		}
		add("memory: open streams, both ends", "B", "streams", 1200, bytes)
		add("processor time: one change of the table", "s", "members", 4940, measureTableChange(newTable(n)))
		add("processor time: one read of the list, with the service's part", "s", "members", 4940, measureListRead(t, n))
		add("processor time: one token frame each way per stream, both ends", "s", "streams", 1200, cpu)
	}
	callers := []int{200}
	if *measureMemory {
		callers = []int{200, 2000, 6000, 18000}
	}
	for _, n := range callers {
		m.Add(Series{Name: "memory: configuration with its pages and snapshot", Unit: "B", Per: "callers", Scale: Linear, Target: 18000, Command: memoryCommand},
			float64(n), retainedBytes(func() any { return configurationCache(t, n) }))
	}
	if *measureMemory {
		if err := m.Save(measuredFile); err != nil {
			t.Fatal(err)
		}
	}
}

// retainedBytes returns the heap bytes that the built value keeps alive.
func retainedBytes(build func() any) float64 {
	before := liveHeapBytes()
	v := build()
	after := liveHeapBytes()
	runtime.KeepAlive(v)
	return after - before
}

// newTable returns a membership table with n serving sidecars.
func newTable(n int) *membership.Table {
	table := membership.NewTable()
	list := make([]membership.Member, n)
	for i := range list {
		list[i] = membership.Member{
			Name: fmt.Sprintf("sidecar-model-%05d", i), Role: "sidecar", Upstream: fmt.Sprintf("decode-model-%05d", i),
			FailureDomain: fmt.Sprintf("region-1-domain-%d", i%20), Region: fmt.Sprintf("region-%d", i%7),
			PeerAddress: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), AdminAddress: fmt.Sprintf("10.1.%d.%d:9001", i/250, i%250),
			Incarnation: 1, State: membership.Serving,
		}
	}
	table.MergeRelayed(list)
	return table
}

func callerObjects(n int) (o config.DecodedObjects) {
	for i := range n {
		name := fmt.Sprintf("caller-%05d", i)
		o.Callers = append(o.Callers, &config.Caller{Name: name, KeySHA256: fmt.Sprintf("%x", sha256.Sum256([]byte(name))), Share: 1})
	}
	return o
}

func upstreamObjects(n int) (o config.DecodedObjects) {
	o.Pools = []*config.Pool{{Name: "decode-model", Role: config.RoleDecode}}
	for i := range n {
		o.Upstreams = append(o.Upstreams, &config.Upstream{Name: fmt.Sprintf("decode-model-%05d", i), Pool: "decode-model", Kind: config.UpstreamModel})
	}
	return o
}

func newReply() *wire.DecodeReply     { return new(wire.DecodeReply) }
func newRequest() *wire.DecodeRequest { return new(wire.DecodeRequest) }

// typicalHint returns a load hint of typical encoded size.
func typicalHint() *wire.Load {
	return &wire.Load{Upstream: "decode-model-00001", Running: 18, Slots: 20, FreeChunks: 7, Queued: 3, QueuedCost: 9000,
		WaitMs: 120, Incarnation: uint64(time.Now().UnixNano()), ConfigRevision: 2600}
}

// measureStreams opens n streams to one server over loopback. It returns the memory
// of both ends and the processor time per round, in which each stream carries one
// token frame.
func measureStreams(t *testing.T, n int) (bytes, cpu float64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const rounds = 5
	token := &wire.DecodeReply{Body: &wire.DecodeReply_Tokens{Tokens: &wire.Tokens{Attempt: 1, Index: 500, Text: []string{" word"}}}}
	server := wire.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := wire.Accept[*wire.DecodeReply](w, r, newRequest)
		if err != nil {
			return
		}
		defer s.Close()
		for {
			if _, err := s.Recv(); err != nil {
				return
			}
			for range rounds {
				_ = s.Send(token)
			}
		}
	}))
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	client := wire.NewClient(wire.DefaultDial())
	defer client.CloseIdleConnections()
	before := liveMemoryBytes()
	streams := make([]*wire.Stream[*wire.DecodeRequest, *wire.DecodeReply], n)
	for i := range streams {
		if streams[i], err = wire.Dial[*wire.DecodeRequest](t.Context(), client, "http://"+l.Addr().String(), "", newReply); err != nil {
			t.Fatal(err)
		}
		defer streams[i].Close()
	}
	bytes = liveMemoryBytes() - before
	begin := cpuTime()
	for _, s := range streams {
		if err := s.Send(&wire.DecodeRequest{Body: &wire.DecodeRequest_Renew{Renew: &wire.Renew{}}}); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range streams {
		for range rounds {
			if _, err := s.Recv(); err != nil {
				t.Fatal(err)
			}
		}
	}
	return bytes, (cpuTime() - begin).Seconds() / rounds
}

// liveMemoryBytes returns the live bytes of the heap and the bytes of the stacks.
func liveMemoryBytes() float64 {
	used := liveHeapBytes()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return used + float64(s.StackInuse)
}

// TestHintBytes logs the sizes of a load hint and of a token frame. It guards against
// a hint that is larger than docs/CAPACITY.md assumes.
func TestHintBytes(t *testing.T) {
	hint := typicalHint()
	frame := &wire.DecodeReply{Body: &wire.DecodeReply_Tokens{Tokens: &wire.Tokens{Attempt: 1, Index: 500, Text: []string{" word"}}}}
	t.Logf("hint %d B, token frame %d B", proto.Size(hint), proto.Size(frame))
	if proto.Size(hint) > 64 {
		t.Errorf("a load hint takes %d B, want at most 64", proto.Size(hint))
	}
}

// configurationCache returns what a process keeps in memory of a configuration with
// n callers: the encoded pages for its peers, the decoded objects and the snapshot.
func configurationCache(t *testing.T, n int) *relay.Cache {
	kv := kvmem.New(kvstore.NewStore(kvstore.Options{ReadsPerSecond: 1e6, WritesPerSecond: 1e6}))
	store := configstore.New(configstore.Options{KV: kv})
	ticket, err := config.ParseTicket("ticket", []byte(initialTicket(n)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Accept(t.Context(), ticket); err != nil {
		t.Fatal(err)
	}
	stored, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	cache := relay.NewCache(config.NewHolder())
	if _, err := cache.ApplyHead(stored.HeadBytes, stored.Pages); err != nil {
		t.Fatal(err)
	}
	return cache
}

// measureTableChange returns the processor time of one change of the state of a member.
func measureTableChange(table *membership.Table) float64 {
	const changes = 40
	begin := cpuTime()
	for i := range changes {
		state := membership.Suspect
		if i%2 == 1 {
			state = membership.Serving
		}
		table.ReportState("sidecar-model-00007", 1, state)
	}
	return (cpuTime() - begin).Seconds() / changes
}

// measureListRead returns the processor time to read a list of n instances over
// loopback and to apply it to a table that already contains them.
func measureListRead(t *testing.T, n int) float64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := instances.Serve(instances.NewList(0), l)
	defer func() { _ = server.Close() }()
	for _, m := range newTable(n).Members() {
		server.Register(instances.Instance{Name: m.Name, Role: m.Role, Upstream: m.Upstream, FailureDomain: m.FailureDomain,
			Region: m.Region, PeerAddress: m.PeerAddress, AdminAddress: m.AdminAddress, Incarnation: m.Incarnation})
	}
	client, err := kvservice.NewInstancesClient(kvservice.InstancesOptions{URL: "http://" + l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	table := membership.NewTable()
	const reads = 10
	begin := cpuTime()
	for range reads {
		list, err := client.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		table.ApplyInstanceList(list)
	}
	if len(table.Members()) != n {
		t.Fatalf("the table has %d members after the reads, want %d", len(table.Members()), n)
	}
	return (cpuTime() - begin).Seconds() / reads
}
