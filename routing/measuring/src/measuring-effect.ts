/** Effects of the measuring slice. */
export type MeasuringEffect = { readonly type: "send-probe"; readonly address: string; readonly unit: number; };
