/** Response kept for repeats of a key. `bodyBase64` is absent when the body was above 64 KiB. */
export interface StoredResponse {
    readonly statusCode: number;
    readonly headers: readonly (readonly [string, string])[];
    readonly bodyBase64: string | undefined;
}
