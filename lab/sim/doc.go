// Package sim runs daemons, engines, the platform and callers in virtual time
// in one goroutine. The daemons' decisions are made by the daemon's own code:
// control.Node, admit.Queue, exchange.Exchange, route.Picker and ledger.Shard;
// the package only carries their calls and messages, with delays and faults.
// The same seed gives the same run.
package sim
