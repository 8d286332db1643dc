/** A text, with the words for it in the name of a test. */
interface NamedText {
  readonly what: string;
  readonly text: string;
}

const NESTING_LEVELS = 100_000;
const LONG_TEXT_CHARACTERS = 1_048_576;
const LONG_TEXT = JSON.stringify('x'.repeat(LONG_TEXT_CHARACTERS));
const NESTED_LISTS = '['.repeat(NESTING_LEVELS) + ']'.repeat(NESTING_LEVELS);
const NESTED_OBJECTS = `${'{"a":'.repeat(NESTING_LEVELS)}1${'}'.repeat(NESTING_LEVELS)}`;
const NO_UTF_8 = Buffer.from([0x7b, 0xff, 0xfe, 0x80, 0x7d]);

const OTHER_TYPES: readonly NamedText[] = [
  {what: 'null', text: 'null'},
  {what: 'a list', text: '[]'},
  {what: 'nested lists', text: NESTED_LISTS},
  {what: 'nested objects', text: NESTED_OBJECTS},
];

/** Texts that a reader of JSON values can get from another writer. */
export class OddJsonTexts {
  /** Texts that are no object, or no JSON at all. */
  static readonly whole: readonly NamedText[] = [
    ...OTHER_TYPES,
    {what: 'no text', text: ''},
    {what: 'cut JSON', text: '{"name":"odd"'},
    {what: 'bytes that are no UTF-8', text: NO_UTF_8.toString('utf8')},
    {what: 'a number', text: '5'},
    {what: 'a number too large', text: '1e999'},
    {what: 'a text of a megabyte', text: LONG_TEXT},
  ];

  /** The object with one field after the other missing. */
  static missing(
    valid: Readonly<Record<string, unknown>>,
    fields: readonly string[],
  ): readonly NamedText[] {
    return fields.map(field => ({
      what: `no ${field}`,
      text: JSON.stringify({...valid, [field]: undefined}),
    }));
  }

  /** The object with one text field after the other odd. */
  static texts(
    valid: Readonly<Record<string, unknown>>,
    fields: readonly string[],
  ): readonly NamedText[] {
    const literals = [
      ...OTHER_TYPES,
      {what: 'a number', text: '5'},
      {what: 'empty', text: '""'},
      {what: 'a megabyte long', text: LONG_TEXT},
    ];
    return fields.flatMap(field => OddJsonTexts.with(valid, field, literals));
  }

  /** The object with one number after the other odd. */
  static numbers(
    valid: Readonly<Record<string, unknown>>,
    fields: readonly string[],
  ): readonly NamedText[] {
    const literals = [
      ...OTHER_TYPES,
      {what: '1e999', text: '1e999'},
      {what: '1e300', text: '1e300'},
      {what: '-1', text: '-1'},
      {what: 'the text NaN', text: '"NaN"'},
    ];
    return fields.flatMap(field => OddJsonTexts.with(valid, field, literals));
  }

  /** The object with one field replaced by each literal, given as JSON. */
  static with(
    valid: Readonly<Record<string, unknown>>,
    field: string,
    literals: readonly NamedText[],
  ): readonly NamedText[] {
    const others = JSON.stringify({...valid, [field]: undefined}).slice(1, -1);
    const start = others ? `{${others},` : '{';
    return literals.map(({what, text}) => ({
      what: `${field} ${what}`,
      text: `${start}${JSON.stringify(field)}:${text}}`,
    }));
  }
}
