import {suite} from 'uvu';

type Body = () => void | Promise<void>;
type Declare = (name: string, body: Body) => void;

interface Hooks {
  /** Runs before the first test of the block. */
  readonly before: (body: Body) => void;
  /** Runs after the last test of the block, also when tests fail. */
  readonly after: (body: Body) => void;
}

const openBlocks: string[] = [];

/**
 * Declares a block of tests; blocks nest, and their names are joined.
 *
 * uvu has flat suites only, so each block becomes one suite whose name is the
 * path of the blocks around it. Tests run in the order in which the blocks end.
 */
export function describe(
  name: string,
  declare: (test: Declare, hooks: Hooks) => void,
): void {
  openBlocks.push(name);
  const tests = suite(openBlocks.join(' > '));
  const test: Declare = (title, body) => {
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
