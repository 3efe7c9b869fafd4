package entry

import (
	"reflect"
	"testing"
)

// Guards against a call of another process that ends this one because its handler
// panics, and against a handler that lacks the recovery.
func TestEveryCallRecovers(t *testing.T) {
	for _, service := range []any{&ShardService{}, &PoolService{}, &PeerService{}, &OperatorService{}} {
		value := reflect.ValueOf(service) // each handler fails on the missing node
		for i := range value.NumMethod() {
			method := value.Method(i)
			name := value.Type().String() + "." + value.Type().Method(i).Name
			args := []reflect.Value{reflect.New(method.Type().In(0)).Elem(), reflect.New(method.Type().In(1).Elem())}
			func() {
				defer func() {
					if value := recover(); value != nil {
						t.Errorf("%s panics: %v", name, value)
					}
				}()
				if out := method.Call(args); out[0].IsNil() {
					t.Errorf("%s: no error", name)
				}
			}()
		}
	}
}
