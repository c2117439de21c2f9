//go:build race

package ingress

// raceFactor is the memory that the race detector makes a connection occupy, over what it occupies without it.
const raceFactor = 2
