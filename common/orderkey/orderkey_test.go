package orderkey_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/balsamlock/balsamlock/common/orderkey"
)

func TestNewEncodesTime(t *testing.T) {
	c := qt.New(t)
	for _, at := range []time.Time{time.UnixMilli(1796367063123), time.UnixMilli(946684800000)} {
		key, err := uuid.Parse(orderkey.New(at))
		c.Assert(err, qt.IsNil)
		c.Check(key.Version(), qt.Equals, uuid.Version(7))
		c.Check(key.Variant(), qt.Equals, uuid.RFC4122)
		seconds, nanoseconds := key.Time().UnixTime()
		c.Check(time.Unix(seconds, nanoseconds).Equal(at), qt.IsTrue)
	}
	c.Check(orderkey.New(time.Now()), qt.Not(qt.Equals), orderkey.New(time.Now()))
}
