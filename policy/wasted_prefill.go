package policy

// PrefillWaste is the cause for which the result of a prefill was not used.
type PrefillWaste uint8

// Causes, in the order in which they are checked: the first that holds explains the rest.
const (
	WasteCallerLeft PrefillWaste = iota
	WasteDeadline
	// WasteOtherWeights: the decode engine has other weights.
	WasteOtherWeights
	// WasteTransferFailed: a decode engine with room could not fetch the result.
	WasteTransferFailed
	// WasteEngineLost: an engine, or the path to it, was lost before the result was there or
	// before the first event.
	WasteEngineLost
	// WasteHandleLapsed: the result expired before a decode engine was found.
	WasteHandleLapsed
	// WasteDecodeRefused: no decode engine took the request.
	WasteDecodeRefused
	// WasteNotPlaced: no decode engine was asked, for example because the retry budget was
	// spent.
	WasteNotPlaced

	wasteCount
)

var wasteNames = [wasteCount]string{
	"caller_left", "deadline", "other_weights", "transfer_failed", "engine_lost", "handle_lapsed", "decode_refused", "not_placed",
}

// String implements fmt.Stringer.
func (w PrefillWaste) String() string { return wasteNames[w] }

// PrefillFacts describe the end of a prefill result that was not used.
type PrefillFacts struct {
	CallerLeft, DeadlinePassed, OtherWeights, TransferFailed, EngineLost, HandleLapsed, DecodeRefused bool
}

// Cause returns the cause for which the result was not used.
func (f PrefillFacts) Cause() PrefillWaste {
	for i, holds := range [...]bool{f.CallerLeft, f.DeadlinePassed, f.OtherWeights, f.TransferFailed, f.EngineLost, f.HandleLapsed, f.DecodeRefused} {
		if holds {
			return PrefillWaste(i)
		}
	}
	return WasteNotPlaced
}
