package ledger

import (
	"encoding/hex"
	"strings"
)

const (
	uuidLength = 36
	// uuidVersion is the position of the version digit.
	uuidVersion = 14
	// uuidTimeDigits is the number of hexadecimal digits of the time.
	uuidTimeDigits = 12
)

// uuid7Time returns the Unix milliseconds inside a UUID version 7.
func uuid7Time(key string) (ms int64, ok bool) {
	if len(key) != uuidLength || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return 0, false
	}
	if key[uuidVersion] != '7' || !strings.ContainsRune("89abAB", rune(key[19])) {
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
