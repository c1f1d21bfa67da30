// SPDX-License-Identifier: Apache-2.0

package metric

// Ejection says why a runner was left out for a while.
type Ejection string

// The reasons for which an entry leaves a runner out, each with a counter
// "runners_ejected_by.REASON". The first three are met where a stream fell silent.
const (
	EjectedUnreported Ejection = "does_not_report" // it did not tell how it stands
	EjectedStalled    Ejection = "requests_wait"   // requests wait for it, as another engine says
	EjectedUnanswered Ejection = "does_not_answer" // the same, and it did not answer a question
	EjectedFailed     Ejection = "answer_failed"   // an answer of its own failed or broke off
	EjectedLost       Ejection = "told_lost"       // entries agree that it is gone
	EjectedConnection Ejection = "connection_lost" // the connection to it broke or did not open
	EjectedSilent     Ejection = "silent"          // a step was not answered, nor any other since
	EjectedBadReply   Ejection = "bad_reply"       // it answered what was not asked for
)

// Ejections returns every reason.
func Ejections() []Ejection {
	return []Ejection{
		EjectedUnreported, EjectedStalled, EjectedUnanswered, EjectedFailed, EjectedLost,
		EjectedConnection, EjectedSilent, EjectedBadReply,
	}
}

// CountEjection counts a runner that is left out for a while, in all and by why.
func (s *Set) CountEjection(why Ejection) {
	s.Add(RunnersEjected, 1)
	s.counters.Add(string(RunnersEjected)+"_by."+string(why), 1)
}

// CountOrder counts an order to hold layers, in all and by the name of why it was given.
func (s *Set) CountOrder(why string) {
	s.Add(OrdersGiven, 1)
	s.counters.Add(string(OrdersGiven)+"_by."+why, 1)
}
