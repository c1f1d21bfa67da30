// SPDX-License-Identifier: Apache-2.0

package protocol

// RecordFault is why a record in the platform names no endpoint to use. The empty fault
// means that it names one.
type RecordFault string

// What is wrong with a record that can't be decoded: nothing in it can be read, it is
// too long to be one, or a field is missing, of another type, or out of range.
const (
	RecordUnreadable  RecordFault = "unreadable"
	RecordTooLong     RecordFault = "too_long"
	RecordNameless    RecordFault = "no_name"
	RecordID          RecordFault = "id"
	RecordService     RecordFault = "service"
	RecordAddress     RecordFault = "address"
	RecordDataCenter  RecordFault = "data_center"
	RecordAccelerator RecordFault = "accelerator"
	RecordSlots       RecordFault = "slots"
	RecordState       RecordFault = "state"
	RecordLayers      RecordFault = "layers"
	RecordModel       RecordFault = "model"
	RecordIncarnation RecordFault = "lifetime"
	RecordHeartbeats  RecordFault = "heartbeats"
)

// What is wrong with a record that can be decoded, but does not fit what is in force.
const (
	RecordServiceUnknown     RecordFault = "service_unknown"
	RecordDataCenterUnknown  RecordFault = "data_center_unknown"
	RecordAcceleratorUnknown RecordFault = "accelerator_unknown"
	RecordLayersOutside      RecordFault = "layers_outside"
)

// RecordFaults returns every fault.
func RecordFaults() []RecordFault {
	return []RecordFault{
		RecordUnreadable, RecordTooLong, RecordNameless, RecordID, RecordService, RecordAddress,
		RecordDataCenter, RecordAccelerator, RecordSlots, RecordState, RecordLayers, RecordModel,
		RecordIncarnation, RecordHeartbeats,
		RecordServiceUnknown, RecordDataCenterUnknown, RecordAcceleratorUnknown, RecordLayersOutside,
	}
}

// RecordError is the error for a record that names no endpoint to use.
type RecordError struct {
	fault RecordFault
	cause error
}

// NewRecordError returns the error for a record with a fault; the cause may be nil.
func NewRecordError(fault RecordFault, cause error) *RecordError {
	return &RecordError{fault: fault, cause: cause}
}

// Fault returns what is wrong.
func (u *RecordError) Fault() RecordFault { return u.fault }

// Error names what is wrong and the remedy.
func (u *RecordError) Error() string {
	text := "the record can't be used (" + string(u.fault) + ")"
	if u.cause != nil {
		text += ": " + u.cause.Error()
	}
	return text + "; its endpoint is left out until it writes a sound one"
}

// Unwrap returns the cause.
func (u *RecordError) Unwrap() error { return u.cause }
