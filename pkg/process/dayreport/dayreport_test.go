package dayreport_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/process/dayreport"
	"github.com/tanagerweir/tanagerweir/pkg/process/explanation"
)

// recordedLines returns the log of a day with three callers: the first gets a fast and a
// slow answer, the second none, and the third is refused. One more answer belongs to a
// request that wasn't logged.
func recordedLines(t *testing.T) []explanation.Line {
	t.Helper()
	began := time.Date(2026, 6, 10, 8, 0, 0, 0, time.UTC)
	var b strings.Builder
	add := func(after time.Duration, message, fields string) {
		fmt.Fprintf(&b, `{"time":%q,"level":"INFO","msg":%q,"Instance":"entry-1",%s}`+"\n", began.Add(after).Format(time.RFC3339Nano), message, fields)
	}
	add(0, "Instance: started.", `"DataCentre":"near"`)
	add(time.Second, "Request: forwarded.", `"RequestId":"1","Class":"feed","Caller":"a:1","Route":"r:1","Server":"i-1"`)
	add(1100*time.Millisecond, "Request: answered.", `"Caller":"a:1","Route":"r:1","Server":"i-1","Waited":100000000`)
	add(4*time.Second, "Request: forwarded.", `"RequestId":"2","Class":"feed","Caller":"a:1","Route":"r:1","Server":"i-1"`)
	add(4*time.Second, "Request: forwarded.", `"RequestId":"3","Class":"sign-off","Caller":"b:1","Route":"r:2","Server":"i-2"`)
	add(4500*time.Millisecond, "Request: answered.", `"Caller":"a:1","Route":"r:1","Server":"i-1","Waited":500000000`)
	add(5*time.Second, "Flow: reset.", `"Caller":"c:1","Route":"r:9","Reason":"NoRoute"`)
	add(6*time.Second, "Request: answered.", `"Caller":"z:1","Route":"r:1","Server":"i-1","Waited":1000000`)
	log := explanation.NewLog()
	if err := log.Read("day", strings.NewReader(b.String())); err != nil {
		t.Fatal(err)
	}
	return log.Lines()
}

// Each request must count once in all, and once for its class of work, data centre,
// backend server and span of time.
func TestRequestsAreCountedInEachGroup(t *testing.T) {
	r := dayreport.New(recordedLines(t), 200*time.Millisecond)
	got := []int{r.All.Forwarded, r.All.Answered, r.All.Slow, r.All.Unanswered(), r.All.Refused}
	if d := cmp.Diff([]int{3, 2, 1, 1, 1}, got); d != "" {
		t.Error(d)
	}
	var names []string
	for _, rows := range [][]dayreport.Row{r.Classes, r.DataCentres, r.Servers} {
		for _, row := range rows {
			names = append(names, fmt.Sprintf("%s %d/%d", row.Name, row.Answered, row.Forwarded))
		}
	}
	if d := cmp.Diff([]string{"feed 2/2", "sign-off 0/1", "near 2/3", "i-1 2/2", "i-2 0/1"}, names); d != "" {
		t.Error(d)
	}
	if r.Classes[0].P99 < 499*time.Millisecond || r.Classes[0].P99 > 501*time.Millisecond {
		t.Errorf("99th percentile %v", r.Classes[0].P99)
	}
	var bins []string
	for _, b := range r.Bins {
		bins = append(bins, fmt.Sprintf("%v %d", b.From, b.Forwarded))
	}
	if d := cmp.Diff([]string{"0s 1", "2s 2", "4s 0"}, bins); d != "" {
		t.Error(d)
	}
}

// Refusals count by reason, and an answer whose request wasn't logged must show up
// rather than vanish.
func TestReasonsAreCounted(t *testing.T) {
	r := dayreport.New(recordedLines(t), time.Second)
	want := []dayreport.Reason{
		{Name: "Flow: reset. NoRoute", Times: 1},
		{Name: "Request: answered, but not seen when it was forwarded.", Times: 1},
	}
	if d := cmp.Diff(want, r.Reasons); d != "" {
		t.Error(d)
	}
}

func TestReportIsWrittenInAllFormats(t *testing.T) {
	r := dayreport.New(recordedLines(t), time.Second)
	var page, encoded, table bytes.Buffer
	if err := r.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	if strings.Count(page.String(), "<svg") != 2 || !strings.Contains(page.String(), "sign-off") {
		t.Errorf("page: %.300s", page.String())
	}
	if err := r.WriteJSON(&encoded); err != nil || !json.Valid(encoded.Bytes()) {
		t.Errorf("JSON: %v", err)
	}
	if err := r.WriteTable(&table); err != nil || !strings.Contains(table.String(), "feed") {
		t.Errorf("table: %v\n%s", err, table.String())
	}
}

func TestEmptyDayIsAReportToo(t *testing.T) {
	var page bytes.Buffer
	if err := dayreport.New(nil, time.Second).WriteHTML(&page); err != nil {
		t.Error(err)
	}
}
