package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
}

// CopyEndToEndHeaders copies the headers that concern more than one connection.
func CopyEndToEndHeaders(dst, src http.Header) {
	var listed map[string]bool
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if listed == nil {
				listed = make(map[string]bool)
			}
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if hopByHop[name] || listed[name] {
			continue
		}
		dst[name] = values
	}
}
