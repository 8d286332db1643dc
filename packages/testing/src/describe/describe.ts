import {suite} from 'uvu';

type TestBody = () => void | Promise<void>;
type DeclareTest = (name: string, body: TestBody) => void;

interface Hooks {
  /** Runs before the first test of the block. */
  readonly before: (body: TestBody) => void;
  /** Runs after the last test of the block, also when tests fail. */
  readonly after: (body: TestBody) => void;
}

const openBlocks: string[] = [];

/**
 * Declares a block of tests. Blocks can be nested.
 *
 * uvu has no nested suites, so each block becomes one suite, named after the
 * block and those around it, joined with ` > `. A block is queued with uvu when
 * its declaration ends, so the tests of an inner block run before those of the
 * outer one.
 */
export function describe(
  name: string,
  declare: (test: DeclareTest, hooks: Hooks) => void,
): void {
  openBlocks.push(name);
  const tests = suite(openBlocks.join(' > '));
  const test: DeclareTest = (title, body) => {
    tests(title, async () => {
      try {
        await body();
      } catch (thrown) {
        throw toPrintable(thrown);
      }
    });
  };
  const hooks: Hooks = {
    before: body => tests.before(async () => void (await body())),
    after: body => tests.after(async () => void (await body())),
  };
  declare(test, hooks);
  openBlocks.pop();
  tests.run();
}

/**
 * An error that uvu can print. It expects `details` to be a string and fails to
 * print an error that has another value there.
 */
function toPrintable(thrown: unknown): unknown {
  const hasDetails = thrown instanceof Error && 'details' in thrown;
  if (!hasDetails || typeof thrown.details === 'string') return thrown;
  return new Error(thrown.message, {cause: thrown});
}
