import type { KnownConfiguration, ViewEvent } from "@marigoldstall/fleet.view";

type OperatorRecord = KnownConfiguration | { readonly zone: string; readonly isEvacuated: boolean; };
type OperatorPage = Pick<
    Extract<ViewEvent, { readonly type: "configuration-read"; }>,
    "configuration" | "evacuations" | "nextOffset"
>;

/** The topic of the fleet model's store to which the operator writes. */
export class ModelOperatorTopic {
    private readonly records: readonly OperatorRecord[];

    constructor(records: readonly OperatorRecord[] = []) {
        this.records = records;
    }

    get endOffset(): number {
        return this.records.length;
    }

    get configuration(): KnownConfiguration | undefined {
        return selectConfiguration(this.records);
    }

    with(record: OperatorRecord): ModelOperatorTopic {
        return new ModelOperatorTopic([...this.records, record]);
    }

    /** Reads the records from an offset on, or lists the latest ones. */
    read(fromOffset: number | undefined): OperatorPage {
        const evacuations = this.records
            .flatMap((record, offset) => "zone" in record ? [{ ...record, offset }] : [])
            .filter(({ offset }) => offset >= (fromOffset ?? 0));
        return {
            configuration: selectConfiguration(this.records.slice(fromOffset)),
            evacuations: fromOffset === undefined
                ? [...new Map(evacuations.map(record => [record.zone, record])).values()]
                : evacuations,
            nextOffset: this.endOffset,
        };
    }
}

const selectConfiguration = (records: readonly OperatorRecord[]): KnownConfiguration | undefined =>
    records.flatMap(record => "zone" in record ? [] : [record]).at(-1);
