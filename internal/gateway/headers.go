package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
}

// CopyEndToEndHeaders copies all headers from src to dst except hop-by-hop headers.
func CopyEndToEndHeaders(dst, src http.Header) {
	var connectionHeaders map[string]bool
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if connectionHeaders == nil {
				connectionHeaders = make(map[string]bool)
			}
			connectionHeaders[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if hopByHop[name] || connectionHeaders[name] {
			continue
		}
		dst[name] = values
	}
}
