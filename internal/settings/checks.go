package settings

import (
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"strconv"

	"github.com/fescueslip/fescueslip/internal/strictyaml"
)

// minPeerSecretBytes is the minimum length of the shared secret, so that it cannot be
// guessed over the network.
const minPeerSecretBytes = 16

var envNamePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

// settingsChecker checks rules that struct tags cannot express, such as rules for
// several keys together, and records their faults in doc.
type settingsChecker struct {
	doc      *strictyaml.Document
	settings *Settings
}

// checkRoleKeys checks that the file has the keys of its role and none of the other.
func (c *settingsChecker) checkRoleKeys() {
	s := c.settings
	switch s.Role {
	case RoleEntry:
		if !c.doc.HasPath("listen.caller") {
			c.doc.AddFault("listen.caller", "the key is missing", "add the address that callers connect to")
		}
		if c.doc.HasPath("upstream") {
			c.doc.AddFault("upstream", "an entry has no upstream", "remove the key, or set role: sidecar")
		}
	case RoleSidecar:
		if c.doc.HasPath("listen.caller") {
			c.doc.AddFault("listen.caller", "a sidecar does not serve callers", "remove the key, or set role: entry")
		}
		c.checkUpstreamKeys()
	}
}

// checkUpstreamKeys checks the upstream of a sidecar.
func (c *settingsChecker) checkUpstreamKeys() {
	u := c.settings.Upstream
	if u.Name == "" && !c.doc.HasFault("upstream.name") {
		c.doc.AddFault("upstream.name", "the key is missing", "add the name that tickets give the upstream")
	}
	if u.Address == "" && !c.doc.HasFault("upstream.address") {
		c.doc.AddFault("upstream.address", "the key is missing", "add the host:port of the engine or service")
	}
	if u.Kind != UpstreamModel && u.Kind != UpstreamService && !c.doc.HasFault("upstream.kind") {
		c.doc.AddFault("upstream.kind", fmt.Sprintf("kind is %q", u.Kind), "use one of model, service")
	}
}

// checkAddresses checks the form of all addresses, that no two listeners conflict, and
// that the upstream is not the process itself.
func (c *settingsChecker) checkAddresses() {
	s := c.settings
	listeners := []struct{ path, value string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.peer", s.Listen.Peer},
		{"listen.admin", s.Listen.Admin},
	}
	var earlier []netip.AddrPort
	var earlierPaths []string
	for _, l := range listeners {
		addr, ok := c.parseAddress(l.path, l.value)
		if !ok {
			continue
		}
		for i, other := range earlier {
			if listenersConflict(addr, other) {
				c.doc.AddFault(l.path, "the address clashes with "+earlierPaths[i], "use another port")
			}
		}
		earlier = append(earlier, addr)
		earlierPaths = append(earlierPaths, l.path)
	}
	upstream, ok := c.parseAddress("upstream.address", s.Upstream.Address)
	for i, other := range earlier {
		if ok && upstream.Port() != 0 && upstream == other {
			c.doc.AddFault("upstream.address", "the address is the same as "+earlierPaths[i], "give the address of the engine or service")
		}
	}
}

// parseAddress parses the host:port in value, records a fault under path if it is
// malformed, and reports whether it is valid. It also reports false, without a new fault,
// if the document lacks the key or already has a fault there. The host must be an IP
// address, because other processes connect to IP addresses, and a host name could resolve
// to another address while the process runs.
func (c *settingsChecker) parseAddress(path, value string) (netip.AddrPort, bool) {
	if !c.doc.HasPath(path) || c.doc.HasFault(path) {
		return netip.AddrPort{}, false
	}
	host, portText, err := net.SplitHostPort(value)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	if err != nil || portErr != nil {
		c.doc.AddFault(path, fmt.Sprintf("%q is not an address", value), "write IP:port, such as 127.0.0.1:8080")
		return netip.AddrPort{}, false
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		c.doc.AddFault(path, fmt.Sprintf("host %q is not an IP address", host), "write IP:port, such as 127.0.0.1:8080 or 0.0.0.0:8080")
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ip.Unmap(), uint16(port)), true
}

// listenersConflict reports whether two listeners cannot be open at the same time. Port
// 0 requests any free port, so it conflicts with no other.
func listenersConflict(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkAdminAddress checks that the admin address is loopback or explicitly allowed to
// be public.
func (c *settingsChecker) checkAdminAddress() {
	addr, ok := c.parseAddress("listen.admin", c.settings.Listen.Admin)
	if ok && !addr.Addr().IsLoopback() && !c.settings.AdminPublic {
		c.doc.AddFault("listen.admin", "the admin address is not loopback",
			"use 127.0.0.1, or set admin_public: true if the network keeps others out")
	}
}

// resolvePeerSecret sets the peer secret from the file or from the environment variable
// that the file names, and checks its length.
func (c *settingsChecker) resolvePeerSecret(lookupEnv func(string) (string, bool)) {
	s := c.settings
	path := "peer_secret"
	switch hasValue, hasEnv := c.doc.HasPath("peer_secret"), c.doc.HasPath("peer_secret_env"); {
	case c.doc.HasFault("peer_secret") || c.doc.HasFault("peer_secret_env"):
		return
	case hasValue && hasEnv:
		c.doc.AddFault("peer_secret_env", "both peer_secret and peer_secret_env are set", "keep one of them")
		return
	case !hasValue && !hasEnv:
		c.doc.AddFault(path, "the key is missing", "add peer_secret, or peer_secret_env with the name of an environment variable")
		return
	case hasEnv:
		path = "peer_secret_env"
		value, ok := "", envNamePattern.MatchString(s.PeerSecretEnv)
		if ok {
			value, ok = lookupEnv(s.PeerSecretEnv)
		}
		if !ok {
			c.doc.AddFault(path, fmt.Sprintf("environment variable %q is not set", s.PeerSecretEnv), "set it before the process starts")
			return
		}
		s.PeerSecret = value
	}
	if len(s.PeerSecret) < minPeerSecretBytes {
		c.doc.AddFault(path, "the secret is too short", fmt.Sprintf("use at least %d random characters", minPeerSecretBytes))
	}
}
