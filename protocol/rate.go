// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// RateObservation is what an entry reports about an endpoint that limits its requests.
type RateObservation uint8

// The reports about a rate limit.
const (
	// RateLimitNamed means that an answer of the endpoint named the limit.
	RateLimitNamed RateObservation = iota + 1
	// RateLimitEnded means that an answer of the endpoint named no limit, though its request was
	// sent when one was known.
	RateLimitEnded
	// RateLimitWanted means that the observer has more requests for the endpoint than its share of
	// the limit allows.
	RateLimitWanted
	// RateLimitLent means that the observer leaves its share of the limit to another entry for some
	// seconds.
	RateLimitLent
)

// String returns the observation as it appears in logs.
func (o RateObservation) String() string {
	switch o {
	case RateLimitNamed:
		return "named"
	case RateLimitEnded:
		return "ended"
	case RateLimitWanted:
		return "wanted"
	case RateLimitLent:
		return "lent"
	default:
		return "unknown"
	}
}

// maxReportAgeMS is the greatest age of a report in milliseconds. Reports are kept for a minute.
const maxReportAgeMS = 3_600_000

// RateReport says what an entry, the observer, knew or did AgoMS milliseconds before the frame was
// written about the rate limit of one incarnation of an endpoint. Limit is in requests a second from
// all entries together, 0 if the limit has ended. Number increases with each report of the observer,
// so that one that comes twice or late counts once. Only a share that is lent has a Borrower and
// Share, its fraction of the limit.
type RateReport struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Incarnation Incarnation
	Observer    string
	Number      uint64
	Observation RateObservation
	Limit       float64
	Borrower    string
	Share       float64
	AgoMS       float64
}

// At returns the time of the observation, if the frame was received now.
func (r *RateReport) At(now time.Time) time.Time { return now.Add(-milliseconds(r.AgoMS)) }

// valid reports whether all fields of the report are in range.
func (r *RateReport) valid() bool {
	if r.Endpoint == "" || r.Observer == "" || r.Incarnation < 0 || !(r.AgoMS >= 0 && r.AgoMS <= maxReportAgeMS) {
		return false
	}
	limited := r.Limit >= MinRateLimit && r.Limit <= MaxRateLimit
	lends := r.Borrower != "" && r.Share > 0 && r.Share <= 1
	switch r.Observation {
	case RateLimitEnded:
		return r.Limit == 0 && !lends
	case RateLimitNamed, RateLimitWanted:
		return limited && !lends
	case RateLimitLent:
		return limited && lends
	default:
		return false
	}
}

// validRates reports whether all reports are valid.
func validRates(reports []RateReport) bool {
	for i := range reports {
		if !reports[i].valid() {
			return false
		}
	}
	return true
}
