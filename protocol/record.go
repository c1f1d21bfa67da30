// SPDX-License-Identifier: Apache-2.0

package protocol

// RecordFault is why a record in the platform does not describe a usable endpoint. The empty
// fault means that it does.
type RecordFault string

// The faults of a record that can't be decoded: it can't be parsed, it is too long, or a
// field is missing, has the wrong type or is out of range.
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

// The faults of a record that can be decoded but contradicts the configuration in force.
const (
	RecordServiceUnknown     RecordFault = "service_unknown"
	RecordDataCenterUnknown  RecordFault = "data_center_unknown"
	RecordAcceleratorUnknown RecordFault = "accelerator_unknown"
	RecordLayersOutside      RecordFault = "layers_outside"
)

// RecordFaults returns all faults.
func RecordFaults() []RecordFault {
	return []RecordFault{
		RecordUnreadable, RecordTooLong, RecordNameless, RecordID, RecordService, RecordAddress,
		RecordDataCenter, RecordAccelerator, RecordSlots, RecordState, RecordLayers, RecordModel,
		RecordIncarnation, RecordHeartbeats,
		RecordServiceUnknown, RecordDataCenterUnknown, RecordAcceleratorUnknown, RecordLayersOutside,
	}
}

// RecordError is the error for a record that does not describe a usable endpoint.
type RecordError struct {
	fault RecordFault
	cause error
}

// NewRecordError returns the error for a record with a fault. The cause may be nil.
func NewRecordError(fault RecordFault, cause error) *RecordError {
	return &RecordError{fault: fault, cause: cause}
}

// Fault returns the fault of the record.
func (e *RecordError) Fault() RecordFault { return e.fault }

// Error returns the fault, its cause and the remedy.
func (e *RecordError) Error() string {
	text := "the record can't be used (" + string(e.fault) + ")"
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text + "; its endpoint is left out until it writes a sound one"
}

// Unwrap returns the cause, or nil.
func (e *RecordError) Unwrap() error { return e.cause }
