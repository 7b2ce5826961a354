import * as Schema from "effect/Schema";

// Names are handed on in datagrams, whose decoder refuses longer strings.
const MAX_NAME_CHARACTERS = 255;

/** Schema of an id, a name or an address that another VM or the store tells. */
export const NameSchema = Schema.String.check(Schema.isMaxLength(MAX_NAME_CHARACTERS));
