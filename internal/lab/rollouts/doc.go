// Package rollouts plays roll-outs of good and bad versions in virtual time: a mesh of
// daemons that hear of stages late, three deciders of which some are killed, paused or
// refused by the store, a store that goes down and loses answers, and trouble that hits
// both versions. The records, the test and the decider are those of the daemon (package
// core/rollout); what carries them is a model.
package rollouts
