// Package gateway serves client requests and sends them directly to their upstreams,
// without sidecars: model engines that reserve their own memory need no process
// beside them.
//
// # The path of a request
//
// Gateway.ServeHTTP makes a Call of the request (accept): it matches the route, finds the
// client account and reads the body. A call whose content has crashed upstreams is refused
// (crashDetector), and so is one whose account has used up its quota (quotas). Then one of
// three paths serves it:
//
//   - A call to a plain service (servePlain) waits for a free place if its upstreams are full
//     (plainQueue). A plainExchange then sends it to one upstream after the other, within the
//     limits of its route and the retryBudget, and to two at once if the first is slow.
//   - A stream of a plain service (servePlainStream) is sent until an upstream accepts it.
//   - A model request (serveModel) waits in the scheduler for a reservation at a decode
//     engine. A modelExchange has a prefill engine process the prompt, sends the request to
//     the decode engine, and relays its events (streamRelay); a broken stream may go on at
//     another engine.
//
// Each attempt goes through Gateway.send, which asks right before the first byte whether the
// call may still be sent (checkAdmitted), and classifies the response. Only a response that is
// proved to be that of the call, and to be whole (confirmEnd), reaches the client as such.
// Gateway.finish logs and counts the outcome and sends an error if there is one.
//
// # What gateways tell each other
//
// PeerState is what a gateway sends to the others: its requests at each engine, the heads of
// its queue, quotas, limits, crashes and the origins of streams. ReceivePeerState applies that
// of another one. All decisions are made by this gateway's own view.
//
// # When a call ends
//
// A call has a deadline (Call.Deadline). Once the planned stop of the process has begun, it
// must also be answered before the end of service (package shutdown): the queues and
// checkAdmitted refuse what can't be, and the rest ends with the context of ServeHTTP.
//
// Implementations of Protocol and EngineClient define the format of the messages on the wire.
package gateway
