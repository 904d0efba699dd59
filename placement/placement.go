// Package placement maps chats to workers and workers to holders by rendezvous
// hashing: no table of chats, and a change of one node moves only that node's
// share. It is pure and allocates nothing per decision.
package placement

// Choose writes the indexes of the len(dst) nodes with the highest rendezvous
// scores for key into dst, best first, and returns the filled part of dst.
// nodes are the hashes of the node IDs (see Hash); the result does not depend
// on their order except through the indexes.
func Choose(dst []int, key uint64, nodes []uint64) []int { panic("not implemented") }

// Hash returns the 64-bit hash of an ID or of the parts of a chat key.
func Hash(parts ...string) uint64 { panic("not implemented") }
