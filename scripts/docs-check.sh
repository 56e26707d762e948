#!/usr/bin/env bash
# Checks the pages against the repository and the programs: links and paths
# exist, make targets exist, subcommands and options stand in --help, example
# records and settings are accepted. Prints FILE:LINE of each fault.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
faults=0

fault() { # PLACE TEXT
  echo "$1: $2" >&2
  faults=$((faults + 1))
}

mapfile -t pages < <(git ls-files --cached --others --exclude-standard '*.md')

# Step 1. What the programs and the Makefile know.
programs=(mangodeck mangodeckd mangodeck-front mangodeck-soak standin-store standin-target standin-relay)
help_of() { # PROGRAM [SUBCOMMAND]
  local file="$work/help-$1-${2:-}"
  [ -f "$file" ] || "$build/bin/$1" ${2:+"$2"} --help >"$file"
  cat "$file"
}
subcommands=$(help_of mangodeck | sed -n '/^Subcommands:/,$p' | awk 'NR > 1 && NF { print $1 }')
options=$(
  for program in "${programs[@]}"; do help_of "$program"; done | grep -oE -- '--[a-z][a-z-]*'
  for subcommand in $subcommands; do help_of mangodeck "$subcommand"; done | grep -oE -- '--[a-z][a-z-]*'
)
targets=$(sed -nE 's/^([a-z][a-z-]*):.*/\1/p' Makefile)

contains() { grep -qxF -- "$2" <<<"$1"; } # LIST WORD

check_options() { # PLACE HELP WORD...
  local place=$1 help=$2 word
  shift 2
  for word in "$@"; do
    word=${word%%=*}
    [[ $word == --[a-z]* ]] || continue
    grep -qE -- "(^|[ ,])$word( |$)" <<<"$help" || fault "$place" "no option $word in --help"
  done
}

check_subcommand() { # PLACE WORD...
  local place=$1 subcommand=${2:-}
  shift
  if [ -z "$subcommand" ] || [[ $subcommand == -* ]]; then
    check_options "$place" "$(help_of mangodeck)" "$@"
  elif contains "$subcommands" "$subcommand"; then
    check_options "$place" "$(help_of mangodeck "$subcommand")" "$@"
  else
    fault "$place" "mangodeck has no subcommand $subcommand"
  fi
}

# Checks one command of a pipeline or list, by its first word.
check_command() { # PLACE KIND WORD...
  local place=$1 kind=$2 word
  shift 2
  while [[ ${1:-} == '$' || ${1:-} =~ ^[A-Z_]+= ]]; do shift; done
  [ $# -gt 0 ] || return 0
  local program=${1##*/}
  [[ $1 != build/bin/* || -x $build/bin/$program ]] || fault "$place" "no program $1"
  shift
  case $program in
  make)
    for word in "$@"; do
      [[ $word =~ ^[a-z][a-z-]*$ ]] || break
      contains "$targets" "$word" || fault "$place" "no target $word in the Makefile"
    done
    ;;
  mangodeck) check_subcommand "$place" "$@" ;;
  mangodeckd | standin-*)
    if [ -x "$build/bin/$program" ]; then
      check_options "$place" "$(help_of "$program")" "$@"
    elif [ $# -gt 0 ] || [ "$kind" = block ]; then
      fault "$place" "no program $program"
    fi
    ;;
  --[a-z]*)
    word=${program%%=*}
    [ "$kind" = block ] || contains "$options" "$word" || fault "$place" "no program has the option $word"
    ;;
  *)
    # `apply --wait` stands for `mangodeck apply --wait`.
    if [ "$kind" = inline ] && contains "$subcommands" "$program" && [[ " $* " == *" --"* ]]; then
      check_subcommand "$place" "$program" "$@"
    fi
    ;;
  esac
}

check_code() { # PLACE KIND TEXT
  local place=$1 kind=$2 part
  local -a words
  while IFS= read -r part; do
    read -ra words <<<"$part"
    check_command "$place" "$kind" "${words[@]}"
  done < <(sed -E 's/ (\||\|\||&&|;|&) /\n/g' <<<"$3")
  # A code span that is a path of the repository.
  if [[ $kind == inline && $3 =~ ^(apps|docs|examples|fuzz|packages|scripts|testing|traces)/[A-Za-z0-9._/-]*$ ]]; then
    [ -e "$3" ] || fault "$place" "no file $3"
  fi
}

check_link() { # PLACE ADDRESS
  local address=${2%% *}
  [[ $address =~ ^(https?|mailto): ]] && return 0
  address=${address%%#*}
  [ -z "$address" ] || [ -e "$(dirname "${1%%:*}")/$address" ] || fault "$1" "no file $address"
}

# Step 2. Links and commands.
awk -f scripts/pagecode.awk "${pages[@]}" >"$work/items"
while IFS=$'\t' read -r place kind text; do
  case $kind in
  link) check_link "$place" "$text" ;;
  open) fault "$place" "a code span is not closed" ;;
  *) check_code "$place" "$kind" "$text" ;;
  esac
done <"$work/items"

# Step 3. YAML code blocks. A block with "kind:" is a record, checked beside
# the records of the example; one with "vm:" at its start is a settings file.
awk -v dir="$work" '
  function end() { if (file != "") close(file); file = "" }
  FNR == 1 { end(); fenced = 0; blank = 1 }
  /^ *```/ { end(); fenced = !fenced; next }
  !fenced && /^[ \t]*$/ { end(); blank = 1; next }
  fenced || (/^    / && (blank || file != "")) {
    if (file == "") {
      if ($0 !~ /^ *(kind|vm): /) { blank = 0; next }
      file = sprintf("%s/yaml-%d", dir, ++count)
      match($0, /^ */); indent = RLENGTH
      print FILENAME ":" FNR > (file ".place")
      close(file ".place")
    }
    print substr($0, indent + 1) > file
    next
  }
  { end(); blank = 0 }' "${pages[@]}"
for place in "$work"/yaml-*.place; do
  [ -e "$place" ] || break
  yaml=${place%.place}
  if grep -q '^kind: ' "$yaml"; then
    rm -rf "$work/records"
    cp -r examples/san-alonso/records "$work/records"
    cp "$yaml" "$work/records/example-of-page.yaml"
    said=$("$build/bin/mangodeck" check "$work/records" 2>&1) || fault "$(cat "$place")" "$said"
  else
    said=$("$build/bin/mangodeckd" --check --settings "$yaml" 2>&1) || fault "$(cat "$place")" "$said"
  fi
done

echo "docs-check: ${#pages[@]} pages, $(wc -l <"$work/items") items, $faults faults"
[ "$faults" -eq 0 ]
