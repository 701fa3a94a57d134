package ledger

import (
	"encoding/hex"
	"strings"
)

const (
	uuidLength = 36
	// uuidVersionOffset is the offset of the version digit.
	uuidVersionOffset = 14
	// uuidTimeDigits is the number of hexadecimal digits of the timestamp.
	uuidTimeDigits = 12
)

// uuid7Time returns the timestamp of a UUID version 7 in Unix milliseconds.
func uuid7Time(key string) (ms int64, ok bool) {
	if len(key) != uuidLength || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return 0, false
	}
	if key[uuidVersionOffset] != '7' || !strings.ContainsRune("89abAB", rune(key[19])) {
		return 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil {
		return 0, false
	}
	for _, b := range raw[:uuidTimeDigits/2] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}
