package demo

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

// initialTicket returns the configuration ticket that defines the pools,
// upstreams, model, routes and callers of the cluster.
func initialTicket(o Options) string {
	var b strings.Builder
	b.WriteString("ticket: 1\nobjects:\n")
	object := func(kind, name, spec string) {
		fmt.Fprintf(&b, "  - kind: %s\n    name: %s\n    spec: {%s}\n", kind, name, spec)
	}
	object("pool", prefillPool, "role: prefill")
	object("pool", decodePool, "role: decode")
	object("pool", ordersPool, "role: service")
	for i := range o.PrefillEngines {
		object("upstream", fmt.Sprintf("prefill-%d", i+1), fmt.Sprintf("pool: %s, kind: model, checks_fencing: %t", prefillPool, i%2 == 0))
	}
	for i := range o.DecodeEngines {
		object("upstream", fmt.Sprintf("decode-%d", i+1), fmt.Sprintf("pool: %s, kind: model, checks_fencing: %t", decodePool, i%2 == 0))
	}
	for i := range o.BookingServers {
		object("upstream", fmt.Sprintf("orders-%d", i+1), fmt.Sprintf("pool: %s, kind: service", ordersPool))
	}
	object("model", modelName, fmt.Sprintf("prefill_pool: %s, decode_pool: %s, max_prompt_tokens: %d, max_output_tokens: 4096",
		prefillPool, decodePool, o.Params.MaxPromptTokens))
	object("route", "order-status", "prefix: /orders/status/, methods: [GET], pool: orders, repeatable: true, timeout: 5s")
	object("route", "order-booking", "prefix: /orders/book, methods: [POST], pool: orders, timeout: 10s")
	for _, key := range callerKeys {
		object("caller", key, fmt.Sprintf("key_sha256: %x, share: 1", sha256.Sum256([]byte(key))))
	}
	return b.String()
}
