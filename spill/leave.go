package spill

import (
	"math"
	"time"
)

// DefaultBytePrice is the cost of a byte that leaves its failure domain, in units of the
// value of a timely answer to the shortest prompt. It is the risk of a retransmission that
// makes the answer late: one packet of 1,460 bytes in 10,000 is lost between sound zones of
// a region, and a late answer loses 0.75 of its value. Transfer fees are about a fiftieth of
// that: 0.01 dollars per gigabyte against answers worth about a cent.
const DefaultBytePrice = 0.75 * 1e-4 / packetBytes

// Sizes that determine the round trips of a request.
const (
	packetBytes   = 1460
	initialWindow = 10 * packetBytes // sent before the first acknowledgement on a new or idle connection
)

// Delays are the stated one-way delays between failure domains.
type Delays map[Route]time.Duration

// Route is the way from one failure domain to another.
type Route struct{ From, To string }

// Between returns the delay between two different domains. A delay that is stated for one
// direction holds for both; a pair without one has the longest that is stated.
func (d Delays) Between(from, to string) time.Duration {
	if delay, ok := d[Route{from, to}]; ok {
		return delay
	}
	if delay, ok := d[Route{to, from}]; ok {
		return delay
	}
	longest := time.Duration(0)
	for _, delay := range d {
		longest = max(longest, delay)
	}
	return longest
}

// Crossing is a request that leaves its failure domain.
type Crossing struct {
	RequestBytes, AnswerBytes int
	Delay                     time.Duration // one way
}

// Cost returns the cost of the crossing: its bytes at their price, and its round trips at the
// value of a second.
func (c Crossing) Cost(bytePrice, secondValue float64) float64 {
	bytes := float64(c.RequestBytes + c.AnswerBytes)
	return bytes*bytePrice + float64(c.roundTrips())*2*c.Delay.Seconds()*secondValue
}

// roundTrips returns the round trips before the first event: one for the request, and one for
// each time that the sender's window has to double for the body.
func (c Crossing) roundTrips() int {
	return 1 + int(math.Ceil(math.Log2(max(float64(c.RequestBytes)/initialWindow, 1))))
}
