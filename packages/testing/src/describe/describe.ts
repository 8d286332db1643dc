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
      await body();
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
