// Package hollow simulates a fleet of senders on one machine, in the manner of
// hollow nodes: the real decision module and the real directory of the endpoint
// list run on top of simulated lower layers. Many senders share one process, one
// virtual clock and one seed, and a run is reproducible to the byte: the same
// scenario and seed give the same result.
//
// It is a discrete-event simulation on one goroutine. Nothing in the model reads
// the machine's clock or its random source. Times are microseconds since the
// start of the run, and each component draws from its own random stream, derived
// from the seed and the component's name, so that adding a component does not
// change what the others draw.
//
// # Real code
//
//   - [rundeal/logic.Sender], one for each sender, stepped as the loop of
//     internal/node does: with all events received so far, at most once per tick.
//   - [rundeal/internal/node.Directory], which turns lists into the module's
//     entries. It is fed the same lists and changes that discovery sends.
//   - The journal's record of a message (attempts, whether one may have run, and
//     when and in which zone the first of these was made), and how a starting
//     process passes it to the module. The file itself is not written.
//
// # Simulated components
//
// Names in quotes are sections of the protocol document.
//
//   - Clients ("Clients to senders"): Poisson arrivals at each sender; destinations
//     are equally popular or follow Zipf's law. A client whose sender is down submits
//     its message to another one, after 400 ms if the machine has vanished. A
//     rejected message counts as returned and is not submitted again.
//   - Destinations ("Senders to endpoints"): a token bucket shared by a
//     destination's endpoints; above it calls are answered 429 with a wait, or 503.
//     An admitted call takes a lognormal time, and there is no queue. One call
//     carries one message. Load reports give the share of the limit that was unused
//     over the last second (x0) and the limit of a warm destination (x1); every
//     answer carries one, except when the connection limit is reached.
//   - Outages: all endpoints of a destination refuse connections (calls in progress
//     are reset), stop answering, or answer 503. After each outage the destination
//     is cold: its limit rises linearly from a fraction to the full value. It
//     relapses into an outage when more than N + 2√N + 2 calls arrive within a
//     window, N being the configured multiple of what the current limit admits in
//     that window.
//   - Connections ("The network"): each carries one call at a time; opening one
//     costs a round trip and a handshake, and an endpoint may limit their number.
//   - Discovery: each sender's machine runs an agent that holds a watch; bytes are
//     those of the JSON bodies. Each change reaches each agent after the network
//     delay and a random spread. An unreachable agent is retried every second.
//     Discovery and its agents survive every simulated failure except a cut of the
//     links to their region.
//   - Zones and regions: one delay within a zone, one within a region and one between
//     regions, each with jitter. Zones are assigned to regions in order.
//   - Failures: a sender's process is killed and restarts with its journal; a machine
//     vanishes together with the journal, and other senders receive its messages 2 s
//     later; the machines of a rack or zone vanish; the link between two regions
//     is cut.
//
// Not simulated: datagrams between senders (the program sends none), bulk calls,
// keys and tenants, probes, planned shutdowns, handovers, misbehaving clients and
// corrupted answers. The linger time of a cancelled call is zero: an answer that is
// on its way at that moment is lost.
package hollow
