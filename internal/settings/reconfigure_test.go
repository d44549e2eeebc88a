package settings

import "fmt"

// An unchanged operation keeps its index and estimates. A changed operation gets another index and
// continues with the estimates of the earlier one. A removed operation keeps its index while
// invocations are in flight there.
func ExampleDeployment_Reconfigure() {
	parse := func(operations string) Deployment {
		d, err := ParseDeployment([]byte(`{"Operations": [` + operations + `]}`))
		if err != nil {
			fmt.Println(err)
		}
		return d
	}
	show := func(d Deployment, sources []int) Deployment {
		fmt.Println(d.Operations, d.OperationIndex, sources, d.LongestTimeout)
		return d
	}
	inFlight := map[int]bool{}
	free := func(index int) bool { return !inFlight[index] }
	const a = `{"Name": "a", "Effect": "read_like", "ClientTimeout": 5}`
	const b = `{"Name": "b", "Effect": "read_like", "ClientTimeout": 9}`
	const c = `{"Name": "c", "Effect": "read_like", "ClientTimeout": 1}`
	const changedA = `{"Name": "a", "Effect": "non_idempotent", "ClientTimeout": 5}`
	d := show(parse(a+","+b), nil)
	d = show(d.Reconfigure(parse(b+","+a), free))
	inFlight[0] = true
	inFlight[1] = true
	d = show(d.Reconfigure(parse(c+","+changedA), free))
	d = show(d.Reconfigure(parse(changedA+","+c+","+b), free))
	clear(inFlight)
	d = show(d.Reconfigure(parse(a), free))
	fmt.Println(d.Dispatch.Operations[d.OperationIndex["a"]].Effect)
	// Output:
	// [a b] map[a:0 b:1] [] 9s
	// [a b] map[a:0 b:1] [0 1] 9s
	// [a b c a] map[a:3 c:2] [0 1 -1 0] 9s
	// [a b c a b] map[a:3 b:4 c:2] [0 1 2 3 -1] 9s
	// [a b c a b] map[a:0] [3 1 2 3 4] 9s
	// 0
}

func ExampleDeployment_Reindex() {
	d, err := ParseDeployment([]byte(`{"MyZone": 1, "Dcs": ["y", "x"], "Kinds": ["m", "k"], "FamilyInfo": {"ClassKind": [0, -1]},
		"Operations": [{"Name": "a", "Effect": "read_like"}, {"Name": "b", "Effect": "read_like"}]}`))
	indexes := map[string]int{"x": 0, "y": 1, "k": 0, "m": 1}
	indexOf := func(name string) int { return indexes[name] }
	d.Reindex(indexOf, indexOf)
	fmt.Println(err, d.Dispatch.Zone, d.Dispatch.Operations[0].WorkerKind, d.Dispatch.Operations[1].WorkerKind)
	// Output: <nil> 0 1 -1
}
