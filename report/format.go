package report

import (
	"math"
	"math/big"
	"regexp"
	"strconv"
	"strings"
)

// number is the value of a numeric field. An absent number is written as an empty cell.
type number struct {
	absent bool
	value  *big.Rat
}

func integer(n uint64) number { return number{value: new(big.Rat).SetInt(new(big.Int).SetUint64(n))} }

// ratio returns a/b, or an absent number if b is zero.
func ratio(a, b uint64) number {
	if b == 0 {
		return number{absent: true}
	}
	return number{value: new(big.Rat).SetFrac(new(big.Int).SetUint64(a), new(big.Int).SetUint64(b))}
}

// maxPlainDecimals is the maximum number of decimals without a format.
const maxPlainDecimals = 6

// numberFormat is a parsed number format.
type numberFormat struct {
	// minDigits is the minimum number of digits of the integer part; minDecimals and
	// maxDecimals bound the number of digits of the fraction.
	minDigits, minDecimals, maxDecimals int
	group, percent                      bool
	// decimal is the decimal separator, groupSign the separator of groups.
	decimal, groupSign string
}

// formatPattern matches the digits before and after the decimal separator, and the
// percent sign.
var formatPattern = regexp.MustCompile(`^([#,]*[0,]*)(?:\.(0+#*|#+))?(%?)$`)

// parseFormat parses a number format, and returns false if it is invalid. The empty
// format writes up to maxPlainDecimals decimals, without trailing zeros.
func parseFormat(text, decimal string) (numberFormat, bool) {
	f := numberFormat{minDigits: 1, maxDecimals: maxPlainDecimals, decimal: ".", groupSign: ","}
	if decimal == "," {
		f.decimal, f.groupSign = ",", "."
	}
	if text == "" {
		return f, true
	}
	m := formatPattern.FindStringSubmatch(text)
	if m == nil || !strings.ContainsAny(text, "0#") || !validGroups(m[1]) {
		return f, false
	}
	f.minDigits = strings.Count(m[1], "0")
	f.group = strings.Contains(m[1], ",")
	f.minDecimals = strings.Count(m[2], "0")
	f.maxDecimals = len(m[2])
	f.percent = m[3] != ""
	return f, true
}

// validGroups reports whether each comma is between two digits and the last one is
// followed by exactly three digits, as in "#,##0".
func validGroups(digits string) bool {
	i := strings.LastIndexByte(digits, ',')
	return i < 0 || i > 0 && len(digits)-i-1 == 3 && !strings.Contains(digits, ",,") && digits[0] != ','
}

// format returns the text of a number. Halves are rounded away from zero.
func (f numberFormat) format(n number) string {
	if n.absent {
		return ""
	}
	value := n.value
	if f.percent {
		value = new(big.Rat).Mul(value, big.NewRat(100, 1))
	}
	digits, fraction, _ := strings.Cut(value.FloatString(f.maxDecimals), ".")
	for len(fraction) > f.minDecimals && strings.HasSuffix(fraction, "0") {
		fraction = fraction[:len(fraction)-1]
	}
	digits = strings.TrimLeft(digits, "0")
	digits = strings.Repeat("0", max(0, f.minDigits-len(digits))) + digits
	if f.group {
		digits = groupDigits(digits, f.groupSign)
	}
	if fraction != "" {
		digits += f.decimal + fraction
	}
	if digits == "" {
		digits = "0"
	}
	if f.percent {
		digits += "%"
	}
	return digits
}

// groupDigits separates groups of three digits.
func groupDigits(digits, sign string) string {
	const size = 3
	var groups []string
	for len(digits) > size {
		groups = append([]string{digits[len(digits)-size:]}, groups...)
		digits = digits[:len(digits)-size]
	}
	return strings.Join(append([]string{digits}, groups...), sign)
}

// parsePercentile parses the digits of a percentile field: "99" is 99, "999" is 99.9.
// It returns false for anything but two or three digits.
func parsePercentile(digits string) (float64, bool) {
	n, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || len(digits) < 2 || len(digits) > 3 {
		return 0, false
	}
	return float64(n) / math.Pow10(len(digits)-2), true
}
