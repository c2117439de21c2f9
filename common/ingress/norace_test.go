//go:build !race

package ingress

const raceFactor = 1
