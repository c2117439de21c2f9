package plan

// EncodeSnapshot returns the record payload of a snapshot.
var EncodeSnapshot = encodeSnapshot
