package settings

import (
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"strconv"

	"github.com/fescueslip/fescueslip/internal/strictyaml"
)

// minPeerSecretBytes keeps the shared secret from being guessed over the network.
const minPeerSecretBytes = 16

var envPattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

// checker finds faults that concern more than one key.
type checker struct {
	doc      *strictyaml.Document
	settings *Settings
}

func (c *checker) roles() {
	s := c.settings
	switch s.Role {
	case RoleEntry:
		if !c.doc.Has("listen.caller") {
			c.doc.Add("listen.caller", "the key is missing", "add the address that callers connect to")
		}
		if c.doc.Has("upstream") {
			c.doc.Add("upstream", "an entry has no upstream", "remove the key, or set role: sidecar")
		}
	case RoleSidecar:
		if c.doc.Has("listen.caller") {
			c.doc.Add("listen.caller", "a sidecar does not serve callers", "remove the key, or set role: entry")
		}
		c.upstream()
	}
}

func (c *checker) upstream() {
	u := c.settings.Upstream
	if u.Name == "" && !c.doc.Faulty("upstream.name") {
		c.doc.Add("upstream.name", "the key is missing", "add the name that tickets give the upstream")
	}
	if u.Address == "" && !c.doc.Faulty("upstream.address") {
		c.doc.Add("upstream.address", "the key is missing", "add the host:port of the engine or service")
	}
	if u.Kind != UpstreamModel && u.Kind != UpstreamService && !c.doc.Faulty("upstream.kind") {
		c.doc.Add("upstream.kind", fmt.Sprintf("kind is %q", u.Kind), "use one of model, service")
	}
}

// addresses checks the form of all addresses and that no two listeners clash.
func (c *checker) addresses() {
	s := c.settings
	listeners := []struct{ path, value string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.peer", s.Listen.Peer},
		{"listen.admin", s.Listen.Admin},
	}
	var seen []netip.AddrPort
	var seenPaths []string
	for _, l := range listeners {
		addr, ok := c.address(l.path, l.value)
		if !ok {
			continue
		}
		for i, other := range seen {
			if clash(addr, other) {
				c.doc.Add(l.path, "the address clashes with "+seenPaths[i], "use another port")
			}
		}
		seen = append(seen, addr)
		seenPaths = append(seenPaths, l.path)
	}
	upstream, ok := c.address("upstream.address", s.Upstream.Address)
	for i, other := range seen {
		if ok && upstream.Port() != 0 && upstream == other {
			c.doc.Add("upstream.address", "the address is the same as "+seenPaths[i], "give the address of the engine or service")
		}
	}
}

// address parses host:port. The host must be an IP address, because processes
// are reached by IP address and a name could change its meaning while they run.
func (c *checker) address(path, value string) (netip.AddrPort, bool) {
	if !c.doc.Has(path) || c.doc.Faulty(path) {
		return netip.AddrPort{}, false
	}
	host, portText, err := net.SplitHostPort(value)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	if err != nil || portErr != nil {
		c.doc.Add(path, fmt.Sprintf("%q is not an address", value), "write IP:port, such as 127.0.0.1:8080")
		return netip.AddrPort{}, false
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		c.doc.Add(path, fmt.Sprintf("host %q is not an IP address", host), "write IP:port, such as 127.0.0.1:8080 or 0.0.0.0:8080")
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ip.Unmap(), uint16(port)), true
}

// clash reports whether two listeners cannot both be opened. Port 0 asks for any
// free port and clashes with nothing.
func clash(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) adminAddress() {
	addr, ok := c.address("listen.admin", c.settings.Listen.Admin)
	if ok && !addr.Addr().IsLoopback() && !c.settings.AdminPublic {
		c.doc.Add("listen.admin", "the admin address is not loopback",
			"use 127.0.0.1, or set admin_public: true if the network keeps others out")
	}
}

func (c *checker) peerSecret(lookupEnv func(string) (string, bool)) {
	s := c.settings
	path := "peer_secret"
	switch hasValue, hasEnv := c.doc.Has("peer_secret"), c.doc.Has("peer_secret_env"); {
	case c.doc.Faulty("peer_secret") || c.doc.Faulty("peer_secret_env"):
		return
	case hasValue && hasEnv:
		c.doc.Add("peer_secret_env", "both peer_secret and peer_secret_env are set", "keep one of them")
		return
	case !hasValue && !hasEnv:
		c.doc.Add(path, "the key is missing", "add peer_secret, or peer_secret_env with the name of an environment variable")
		return
	case hasEnv:
		path = "peer_secret_env"
		value, ok := "", envPattern.MatchString(s.PeerSecretEnv)
		if ok {
			value, ok = lookupEnv(s.PeerSecretEnv)
		}
		if !ok {
			c.doc.Add(path, fmt.Sprintf("environment variable %q is not set", s.PeerSecretEnv), "set it before the process starts")
			return
		}
		s.PeerSecret = value
	}
	if len(s.PeerSecret) < minPeerSecretBytes {
		c.doc.Add(path, "the secret is too short", fmt.Sprintf("use at least %d random characters", minPeerSecretBytes))
	}
}
