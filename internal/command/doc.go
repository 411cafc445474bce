// Package command decides how JSON-RPC 2.0 commands are run: which host may
// start a command, on which backend server, when it may be retried, and what
// the caller is told.
//
// State is the side of a bucket's two owners. It holds one claim per request
// and lets a non-idempotent command start only when no other host can start it
// too. Runner is the side of a backend server's admitting host. Both are pure:
// they take an event and the current time and return outcomes. Neither is safe
// for concurrent use.
//
// The owner gives each result of a StoreClaim, Run or Transfer call back to
// ClaimResult, RunResult or TransferResult, also when the call failed. It calls
// SetConditions and Expire several times per second, and SetOwners after each
// change of a service's owner group, before it takes requests under the new
// owners. The handlers of command.claim, command.complete and command.transfer
// are Claim, Complete and Transfer. The handler of command.run calls Runner.Run
// and waits for the Finish outcome with its call number.
//
// "Not run" is an answer about the future as well as the past: a delayed
// duplicate of a request must not run after its caller was told "not run".
// The answer is therefore given for a non-idempotent command only under the
// conditions under which the command may start; in all other cases the caller
// is told "outcome unknown".
package command
