import {suite} from 'uvu';

type Body = () => void | Promise<void>;

interface OpenBlock {
  readonly name: string;
  readonly test: (name: string, body: Body) => void;
}

const openBlocks: OpenBlock[] = [];

/**
 * Declares a block of tests; blocks nest, and their names are joined.
 *
 * uvu has flat suites only, so each block becomes one suite whose name is the
 * path of the blocks around it.
 */
export function describe(
  name: string,
  declare: (test: (name: string, body: Body) => void) => void,
): void {
  const parents = openBlocks.map(block => block.name);
  const tests = suite([...parents, name].join(' > '));
  const test = (title: string, body: Body) => {
    tests(title, async () => {
      await body();
    });
  };
  openBlocks.push({name, test});
  declare(test);
  openBlocks.pop();
  tests.run();
}
