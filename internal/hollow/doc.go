// Package hollow runs a fleet of senders on one machine, as hollow nodes do: the
// real decision module and the real directory of the endpoint list, with all
// below them simulated. Many senders share one process, one virtual clock and one
// seed, and the same scenario and seed give the same run to the byte.
//
// It is a discrete-event simulation on one goroutine. Nothing in the model asks
// the machine's clock or its random source: times are microseconds since the
// start of the run, and each component draws from a stream of its own, derived
// from the seed and the component's name, so that one more component does not
// shift what the others draw.
//
// # What is real
//
//   - [rundeal/logic.Sender], one for each sender, stepped as the loop of
//     internal/node does: with all that has come, at most once a tick.
//   - [rundeal/internal/node.Directory], which turns lists into the module's
//     entries, fed with the same lists and changes as from discovery.
//   - What the journal keeps of a message (attempts, whether one may have run, and
//     when and in which zone the first of these went), and how a start hands that
//     to the module. The file itself is not written.
//
// # What is a stand-in
//
// Sections are those of the protocol page.
//
//   - Clients ("Clients to senders"): Poisson arrivals at each sender; destinations
//     are equally popular or follow Zipf's law. A client whose sender dies hands its
//     message in at another one, after 400 ms if the machine has vanished. A message
//     that was refused counts as returned and does not come again.
//   - Destinations ("Senders to endpoints"): a token bucket shared by a
//     destination's endpoints; above it calls are answered 429 with a wait, or 503.
//     A call that is let in takes a lognormal time, and there is no queue. One call
//     carries one message. Reports tell the share of the limit that was left over
//     the last second (x0) and the limit (x1), the latter as of a warm destination;
//     all answers carry one but that of a full table of connections.
//   - Outages: all endpoints of a destination refuse connections (calls under way
//     are reset), fall silent, or answer 503. After each the destination is cold:
//     its limit rises linearly from a part to the whole, and it falls again when
//     more than N + 2√N + 2 calls arrive within a window, N being the multiple of
//     what the limit of that moment lets through in the window.
//   - Connections ("The network"): each carries one call at a time; a new one costs
//     a round trip and a handshake, and an endpoint may hold only so many.
//   - Discovery: a watch held by each sender's agent; bytes are those of the JSON
//     bodies. Each change reaches each agent after the network's delay and a spread.
//     An agent that cannot be reached is tried again each second. Discovery and its
//     agents survive all that is simulated but a cut of the links to its region.
//   - Zones and regions: one delay within a zone, one within a region and one between
//     regions, each with jitter. Zones are dealt out to regions in order.
//   - Failures: a sender's process is killed and starts again with its journal; a
//     machine vanishes with it, and what it held is handed to others 2 s later; a
//     rack, a zone and the link between two regions.
//
// Left out: datagrams between senders (the program sends none), bulk calls, keys
// and tenants, probes, planned shutdowns, handovers, clients that misbehave, and
// what an answer may be spoilt by. The linger time of a call that is given up is
// nought: an answer on its way then is lost.
package hollow
