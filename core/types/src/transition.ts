/** Result of reducing one event: the new state and the effects that the daemon executes. */
export interface Transition<State, Effect> {
    readonly state: State;
    readonly effects: readonly Effect[];
}
