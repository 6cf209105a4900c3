package cfvcall

import "strconv"

func formatVersion(v int64) string { return strconv.FormatInt(v, 10) }

func parseVersion(s string) (int64, bool) {
	v, err := strconv.ParseInt(s, 10, 64)
	return v, err == nil
}
